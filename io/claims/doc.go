// Package claims keeps the claims of calls that may not be repeated on the platform's log.
package claims
