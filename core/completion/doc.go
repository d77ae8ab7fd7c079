// Package completion estimates when an endpoint would send the first and the last event of an answer.
package completion
