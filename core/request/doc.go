// Package request defines a client's request, the error for one that was not served, and what the router exchanges with
// endpoints about it, independent of their protocols.
package request
