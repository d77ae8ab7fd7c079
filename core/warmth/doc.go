// Package warmth remembers which parts of prompts an endpoint has read.
package warmth
