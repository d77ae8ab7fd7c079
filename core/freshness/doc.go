// Package freshness tells whether the configuration was read recently enough to serve by it.
package freshness
