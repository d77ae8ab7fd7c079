// Package background runs what a service does in the background, and waits for it when the service
// stops.
package background
