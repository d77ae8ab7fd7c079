// Package claims ensures that requests with an idempotency key run at most once, by claiming each key with a record on
// the platform's log.
package claims
