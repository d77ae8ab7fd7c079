// Package coldlimit limits the request rate of recently started endpoints by dividing it between the routers of a
// fleet.
//
// A cold endpoint fails when it gets more than a certain number of requests a second, whoever sends them. The routers
// send one request at a time, and learn of each other's within some hundred milliseconds: too late for a limit of one
// second.
package coldlimit
