// Package fleetload aggregates the load reports that a hub receives from routers, and keeps the versioned changes that
// the hub sends back to them.
package fleetload
