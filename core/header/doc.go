// Package header defines the names of the HTTP headers that routers exchange with callers and endpoints.
package header
