// Package speed learns how much longer work takes at an endpoint than is usual, and separates what lasts from what passes.
package speed
