// Package retry holds the budget for retries.
package retrybudget
