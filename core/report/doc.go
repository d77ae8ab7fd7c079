// Package report holds what an endpoint reports of its load, as JSON and as one header line.
package report
