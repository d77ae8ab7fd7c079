// Package routetable indexes one complete version of the configuration, and looks up the route and the client
// account of a request.
package routetable
