// Package coldshare divides what an endpoint that has just started bears between the routers of a fleet.
//
// An endpoint that is cold fails when it gets more than some requests a second, whoever sends them. The routers send a
// request at a time, and learn of each other's within some hundred milliseconds: too late for a limit of one second.
package coldshare
