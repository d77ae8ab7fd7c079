// Package warmth remembers which endpoint has read which parts of prompts.
package warmth
