// Package event defines the names of the events that routers log.
package event
