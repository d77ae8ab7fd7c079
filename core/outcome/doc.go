// Package outcome defines whether a request was executed: notRun, ran or unknown.
package outcome
