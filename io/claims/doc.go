// Package claims claims the idempotency keys of requests that may run at most once, through records on the platform's
// log.
package claims
