//go:build !race

package command_test

const memoryFactor = 1
