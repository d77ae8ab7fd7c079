// Package event names what a router logs.
package event
