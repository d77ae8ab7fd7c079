// Package leases keeps leases on the platform's log, with offsets as fencing numbers.
package leases
