// Package field defines the names of the fields of router log lines.
package field
