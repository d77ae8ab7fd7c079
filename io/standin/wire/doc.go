// Package wire reads and writes the JSON of the stand-ins.
package wire
