package hubtest

import (
	"os"
	"runtime"
	"strconv"
	"testing"
)

// Main runs the tests of a package that simulates fleets. It keeps the race detector from ending them: goroutines of a
// synctest bubble that run timers in parallel share one of its contexts, which corrupts it. Hundreds of routers that
// wake at the same instant do so now and then.
func Main(m *testing.M) {
	if raceDetector {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}

// LargeFleet returns how many routers a large fleet has: n, or what the environment variable HUB_ROUTERS says.
func LargeFleet(n int) int {
	set, err := strconv.Atoi(os.Getenv("HUB_ROUTERS"))
	if err != nil {
		return n
	}
	return set
}
