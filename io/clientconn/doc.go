// Package clientconn keeps the connections of clients, knows how each came to its end, and ends none under a request.
package clientconn
