// Package platformlog speaks to the platform's append-only log service over HTTP.
package platformlog
