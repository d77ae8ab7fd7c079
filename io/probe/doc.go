// Package probe keeps track of the health of the endpoints, primarily from the responses to client requests, and
// through probes where there are none.
package probe
