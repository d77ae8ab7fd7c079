//go:build race

package command_test

// memoryFactor is how many times as much memory a process takes under the race detector: five to ten times, by its documentation.
const memoryFactor = 5
