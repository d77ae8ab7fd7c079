// Package coldlimit limits the request rate of recently started endpoints by dividing it between the routers of a
// fleet.
//
// A cold endpoint fails when it gets more than a certain number of requests a second from all routers together. A router
// learns of the requests of the others only some hundred milliseconds later, which is too late to keep a limit that
// applies to each second. So each router keeps to its own share.
package coldlimit
