// Package restore tests fleets whose store comes back from an older copy.
package restore
