// Package fakestore simulates the store of a fleet in memory, on the clock of a test.
package fakestore
