// Package logservice is an in-memory stand-in for the platform's log service, with faults that tests can inject.
package logservice
