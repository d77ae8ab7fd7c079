// Package retry holds the budget that retries draw on.
package retry
