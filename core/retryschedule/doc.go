// Package retryschedule spreads the retries of refused clients over the capacity that becomes free in the whole fleet.
package retryschedule
