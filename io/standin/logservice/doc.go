// Package logservice is a small stand-in for the platform's log service, with switches for its
// faults.
package logservice
