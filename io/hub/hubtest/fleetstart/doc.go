// Package fleetstart tests starts and restarts of fleets.
package fleetstart
