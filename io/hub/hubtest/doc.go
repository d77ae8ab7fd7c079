// Package hubtest simulates fleets of routers that share what they read through hubs.
package hubtest
