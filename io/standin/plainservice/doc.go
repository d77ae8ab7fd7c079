// Package plainservice is a small stand-in for a plain service that counts what it ran, by key.
package plainservice
