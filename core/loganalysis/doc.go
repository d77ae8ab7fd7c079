// Package loganalysis analyses router logs. It explains the outcome of a single request, and reports how many requests
// were not served and why.
package loganalysis
