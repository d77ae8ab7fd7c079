// Package waitqueue orders the requests that wait for a place at a service, and bounds how many wait and for how long.
package waitqueue
