// Package report defines the load report of an endpoint, with its JSON and header encodings.
package report
