// Package background runs the goroutines of a service, and waits for them when the service stops.
package background
