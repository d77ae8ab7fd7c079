// Package entry is the reverse proxy on an entry VM. It matches each client request to a route and a client account,
// forwards it to an endpoint, and returns either the endpoint's complete response or a refusal that says whether the
// request ran.
package entry
