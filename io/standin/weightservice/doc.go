// Package weightservice is a stand-in for the platform's rate-limited weight store.
package weightservice
