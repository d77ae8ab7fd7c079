// Package placement chooses the endpoint for a request. It implements bounded-load rendezvous hashing and the baseline
// policies that it is compared with.
package placement
