// Package http1 is an HTTP/1.1 client with persistent connections that sends each request once and never retries it.
package http1
