// Package weightservice is a small stand-in for the platform's rate-limited weight store.
package weightservice
