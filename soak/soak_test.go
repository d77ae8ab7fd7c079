package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSoak runs one or more seeds against the unmodified router. To run it by hand with other seeds:
//
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test ./soak -run TestSoak -parallel 4 -timeout 60m
//
// SOAK_ROUTERS sets the number of routers, and SOAK_ROUNDS the number of fault phases.
func TestSoak(t *testing.T) {
	binary := buildRouter(t)
	first := intFromEnv("SOAK_FIRST", 1)
	for seed := first; seed < first+intFromEnv("SOAK_SEEDS", 1); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			h := runSeed(t, binary, uint64(seed))
			assert.Equal(t, len(h.foundViolations()), 0, "%s", h.report())
		})
	}
}

// buildRouter builds the router with the given build flags and returns the path of the binary.
func buildRouter(t *testing.T, flags ...string) (binary string) {
	t.Helper()
	binary = filepath.Join(t.TempDir(), "savoryfall")
	args := append([]string{"build", "-o", binary}, flags...)
	out, err := exec.Command("go", append(args, "savoryfall")...).CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// intFromEnv returns the integer value of an environment variable, or the fallback if it has none.
func intFromEnv(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}
