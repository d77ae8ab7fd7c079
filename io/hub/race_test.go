//go:build race

package hub_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain keeps the race detector from ending the tests: goroutines of a synctest bubble that run timers in parallel share
// one of its contexts, which corrupts it. Hundreds of routers that wake at the same instant do so now and then.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
