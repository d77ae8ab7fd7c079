// Package orders plans which versions each engine shall hold, from what is wanted and what is
// reported.
package orders
