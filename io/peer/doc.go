// Package peer speaks net/rpc with the other routers of the fleet.
package peer
