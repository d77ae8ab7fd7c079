// Package fleetstate defines what the routers of a fleet tell each other about endpoints, client accounts and retries while
// overload control is active, and sums it.
package fleetstate
