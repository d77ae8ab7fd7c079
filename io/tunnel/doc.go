// Package tunnel carries single connections to endpoints through another router, for a router that cannot reach the
// endpoints itself.
//
// A tunnel is a TCP connection to the port on which routers listen for each other. The router that opens it sends one
// request line and receives one reply line. Then its bytes go to the endpoint as they are, and the endpoint's bytes come
// back in frames of a two-byte length (big endian) and as many bytes. A frame of length 0 says that the endpoint has
// closed its connection; a tunnel that ends without one has lost bytes. A tunnel is used for one connection only, and
// its far end connects to the endpoint itself, never through a further router.
package tunnel
