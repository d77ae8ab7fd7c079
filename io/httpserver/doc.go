// Package httpserver runs an HTTP server as a service of the kernel.
package httpserver
