// Package leases acquires and renews leases through a stream of the platform's log, whose offsets serve as fencing
// tokens.
package leases
