// Package header names the HTTP headers of the fleet's own.
package header
