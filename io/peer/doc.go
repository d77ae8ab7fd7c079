// Package peer exchanges cluster state with the other routers over net/rpc.
package peer
