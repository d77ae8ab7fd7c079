// Package hashmix mixes the bits of hashes so that they are spread evenly.
package hashmix
