// Package scatter spreads hashes evenly.
package hashmix
