// Package eventsplit cuts a stream of server-sent events into whole events without changing their bytes.
package eventsplit
