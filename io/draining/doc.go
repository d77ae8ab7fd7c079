// Package draining keeps what the store says of failure domains that are drained.
package draining
