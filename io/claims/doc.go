// Package claims ensures that requests which must not be repeated run at most once, by claiming their idempotency keys
// with records on the platform's log.
package claims
