// Package sse splits a stream of server-sent events into complete events without changing their bytes.
package sse
