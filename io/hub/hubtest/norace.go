//go:build !race

package hubtest

const raceDetector = false
