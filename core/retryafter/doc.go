// Package comeback computes when the client of a refused request should retry.
package retryafter
