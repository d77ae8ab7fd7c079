// Package ask holds a client's request to the router, decoded once from its protocol.
package request
