// Package routetable holds a configuration that arrives whole, and finds the route and the client account of a request.
package routetable
