// Package outage tests fleets whose store refuses calls.
package outage
