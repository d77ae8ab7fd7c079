// Package scatter spreads hashes evenly.
package scatter
