// Package releasenote parses and validates release notes. Operators change the configuration of the fleet only by
// release notes.
package releasenote
