// Package process finds out whether the process of an endpoint has ended, by a connection of its own to its address.
package process
