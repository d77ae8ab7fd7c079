// Package plainservice is a stand-in for a plain service that counts how often it ran each idempotency key, with faults
// that tests can inject.
package plainservice
