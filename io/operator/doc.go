// Package operator serves the operators' HTTP API: status, routing decisions, the active configuration and metrics.
package operator
