package soak_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// variant is the router without one safeguard: one piece of text in a source file is replaced by another.
type variant struct {
	file, text, replacement string
}

// variants holds the variants by name. Each one has a defect that would harm clients or endpoints, which the soak test
// has to detect within five seeds.
var variants = map[string]variant{
	"withdrawnKeysNeverExpire": {
		"core/freshness/lease.go", "return known && age < time.Duration(l.term.Load())", "return known && age >= 0",
	},
	"everyRequestIsRetried": {
		"core/routetable/table.go", "return k == Idempotent || k == ResumableStream", "return true",
	},
	"unknownOutcomeReportedAsNotRun": {
		"platform/clientapi/codec.go", "return http.StatusBadGateway", "return http.StatusServiceUnavailable",
	},
	"leavingEndpointsGetRequests": {
		"core/directory/directory.go", "if !r.removed && !r.entry.Leaving {", "if !r.removed {",
	},
	"stopAbortsRequests": {
		"io/clientconn/set.go", "return len(s.all())", "return 0",
	},
	"stoppingRouterRefusesAtOnce": {
		"io/entry/server.go", "const leaveShare = 0.34", "const leaveShare = 0",
	},
	"loweredLimitEndsIdleConnections": {
		"io/clientconn/set.go", "> max(idle, c.limit)+idleSlack", "> s.limits().Idle+idleSlack",
	},
	"leavingMarkInAnswersIsIgnored": {
		"platform/endpointapi/codec.go", "h.Get(headerLeaving) == \"1\"", "false",
	},
	"pausesAreIgnored": {
		"platform/endpointapi/codec.go", "r.Pause = retryafter.Parse(h.Get(headerRetryAfter))", "r.Pause = 0 * retryafter.Parse(h.Get(headerRetryAfter))",
	},
	"partOfTheLogConfirms": {
		"core/compactedlog/record.go", "return p.Next >= p.LogEnd", "return p.Next >= 0 || p.LogEnd > 0",
	},
	"generationOfTheStoreIsIgnored": {
		"platform/store/client.go", "if err != nil || generation <= 0 {", "if err != nil || generation <= 0 || generation > 0 {",
	},
	"versionsAreIgnored": {
		"core/origin/origin.go", "if o.Service != e.Service {\n\t\treturn false", "if o.Service != e.Service || o.Version != e.Version {\n\t\treturn true",
	},
	"versionsThatLeftAreForgotten": {
		"core/versionhistory/history.go", "if now.Sub(r.lastListed) <= window {", "if now.Sub(r.lastListed) <= window && s.listed[v] {",
	},
	"crashesAreIgnored": {
		"core/quarantine/record.go", "const MaxCrashes = 3", "const MaxCrashes = 300",
	},
	"repeatedRequestsAreIgnored": {
		"core/quarantine/subject.go", "if s.Request != 0 {", "if s.Request == 1 {",
	},
	"clientKeyIsForwarded": {
		"platform/endpointapi/codec.go", "\"Authorization\", headerInstance", "headerInstance",
	},
}

// requiredViolations has, by variant, a part of the violation that has to be found where any other would not show the defect.
var requiredViolations = map[string]string{"versionsThatLeftAreForgotten": "holds events of several versions"}

// TestBrokenVariantsAreCaught verifies that the checks of the soak test detect the defects that they are meant to
// detect.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, v := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary := buildRouter(t, "-overlay", v.overlay(t))
			for seed := uint64(1); seed <= 5; seed++ {
				h := runSeed(t, binary, seed)
				found := h.foundViolations()
				if i := slices.IndexFunc(found, func(s string) bool { return strings.Contains(s, requiredViolations[name]) }); i >= 0 {
					t.Logf("detected by seed %d: %s", seed, found[i])
					return
				}
			}
			t.Fatal("five seeds found no violation")
		})
	}
}

// overlay returns the path of a go build overlay file that replaces the source file by its changed version.
func (v variant) overlay(t *testing.T) (file string) {
	t.Helper()
	path, changed := v.write(t)
	return writeOverlay(t, map[string]string{path: changed})
}

// write writes the changed version of the source file, and returns the paths of both.
func (v variant) write(t *testing.T) (path, changed string) {
	path, err := filepath.Abs(filepath.Join("..", v.file))
	assert.NilError(t, err)
	source, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(source), v.text), 1, "%s does not contain this text exactly once: %s", v.file, v.text)
	changed = filepath.Join(t.TempDir(), "changed.go")
	assert.NilError(t, os.WriteFile(changed, []byte(strings.Replace(string(source), v.text, v.replacement, 1)), 0o600))
	return path, changed
}

// writeOverlay writes a go build overlay file that replaces or adds source files.
func writeOverlay(t *testing.T, replace map[string]string) (file string) {
	text, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	assert.NilError(t, err)
	file = filepath.Join(t.TempDir(), "overlay.json")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	return file
}
