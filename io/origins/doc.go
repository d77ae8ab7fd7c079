// Package origins exchanges with the other routers where streams began, so that any of them can let a stream go on at the
// software version that began it.
//
// A router that sends a stream to an endpoint has a few other routers, chosen by rendezvous hashing, keep the record before
// it forwards the first event. A router where a client resumes the stream asks the same routers. Services with a single
// version need neither.
package origins
