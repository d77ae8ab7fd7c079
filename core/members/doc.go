// Package members keeps the list of the routers in the fleet, as listed in the store, and ranks them to choose the
// hub that each router follows.
package members
