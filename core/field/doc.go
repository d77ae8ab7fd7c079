// Package field names the fields of a router's log lines.
package field
