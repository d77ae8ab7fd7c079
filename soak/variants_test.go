package soak_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// variant is the router without one safeguard: a text of a source file replaced by another.
type variant struct {
	file, text, instead string
}

// Each variant is broken in a way that clients or servers would suffer from; the soak has to notice within its seeds.
var variants = map[string]variant{
	"keysNeverGrowOld": {
		"core/freshness/lease.go", "return known && age < time.Duration(l.term.Load())", "return known && age >= 0",
	},
	"everythingIsRepeated": {
		"core/routetable/table.go", "return k == Idempotent || k == ResumableStream", "return true",
	},
	"unknownIsToldAsNotRun": {
		"platform/front/front.go", "return http.StatusBadGateway", "return http.StatusServiceUnavailable",
	},
	"leavingIsIgnored": {
		"core/directory/directory.go", "if !r.removed && !r.entry.Leaving {", "if !r.removed {",
	},
	"stopCutsRequests": {
		"io/clientconn/set.go", "return len(s.all())", "return 0",
	},
	"stoppingRefusesAtOnce": {
		"io/entry/server.go", "const leaveShare = 0.34", "const leaveShare = 0",
	},
	"loweredLimitEndsIdleConnections": {
		"io/clientconn/set.go", "> max(idle, c.limit)+idleSlack", "> s.limits().Idle+idleSlack",
	},
	"keyIsPassedOn": {
		"platform/backend/backend.go", "\"Authorization\", headerInstance", "headerInstance",
	},
}

// TestBrokenVariantsAreCaught shows that the soak's checks see what they are for.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary := build(t, "-overlay", v.overlay(t))
			for seed := uint64(1); seed <= 5; seed++ {
				w := play(t, binary, seed)
				if len(w.faults()) > 0 {
					t.Logf("caught by seed %d: %s", seed, w.faults()[0])
					return
				}
			}
			t.Fatal("five seeds found nothing wrong")
		})
	}
}

// overlay is the file that makes the build take the changed source in place of the real one.
func (v variant) overlay(t *testing.T) (file string) {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", v.file))
	assert.NilError(t, err)
	source, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(source), v.text), 1, "%s has changed: %s", v.file, v.text)
	changed := filepath.Join(t.TempDir(), "changed.go")
	assert.NilError(t, os.WriteFile(changed, []byte(strings.Replace(string(source), v.text, v.instead, 1)), 0o600))
	text, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	assert.NilError(t, err)
	file = filepath.Join(t.TempDir(), "overlay.json")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	return file
}
