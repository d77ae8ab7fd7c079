// Package members keeps the routers of the fleet as the store lists them, and the order in which they serve as hub.
package members
