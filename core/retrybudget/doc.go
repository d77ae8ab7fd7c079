// Package retrybudget limits the retries of one router to a budget that first attempts fill.
package retrybudget
