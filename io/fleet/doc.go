// Package fleet runs a small fleet with its stand-ins in one process, on loopback.
package fleet
