// Package retryafter computes the delay after which the client of a refused request should retry.
package retryafter
