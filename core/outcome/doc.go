// Package outcome says whether a request ran: notRun, ran or unknown.
package outcome
