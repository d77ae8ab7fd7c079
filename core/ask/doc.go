// Package ask is what a client asks of the router, decoded once from its protocol.
package ask
