// Package platformlog is an HTTP client of the platform's append-only log service.
package platformlog
