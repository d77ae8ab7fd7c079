// Package tracing exports the OpenTelemetry spans of one process to a collector or to a file.
package tracing
