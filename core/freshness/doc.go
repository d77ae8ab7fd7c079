// Package freshness determines whether the configuration was read recently enough to serve requests with it.
package freshness
