// Package placement chooses the endpoint for a request: bounded-load rendezvous, and the baselines
// it is measured against.
package placement
