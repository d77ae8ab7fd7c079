// Package origin describes where a stream began, which decides at which endpoints it may go on.
package origin
