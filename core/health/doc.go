// Package health decides which endpoints may take new work, from what was heard, what failed and
// who is leaving.
package health
