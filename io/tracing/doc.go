// Package tracing sends the spans of one process to a collector or to a file.
package tracing
