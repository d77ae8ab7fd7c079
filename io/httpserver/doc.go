// Package httpserver runs an HTTP server as a service of core/lifecycle.
package httpserver
