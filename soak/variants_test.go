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

// variant is the router without one safeguard, or two: a piece of text in a source file is replaced by another.
type variant struct {
	file, text, replacement string
	// also is a second safeguard that is taken out, where one alone hides the defect of the other.
	also *variant
}

// variants holds the variants by name. Each one has a defect that would harm clients or endpoints, which the soak test
// has to detect within five seeds.
var variants = map[string]variant{
	"withdrawnKeysNeverExpire": {
		file: "core/freshness/lease.go", text: "return known && age < time.Duration(l.term.Load())",
		replacement: "return known && age >= 0",
	},
	"everyRequestIsRetried": {
		file: "core/routetable/table.go", text: "return k == Idempotent || k == ResumableStream",
		replacement: "return true",
	},
	"unknownOutcomeReportedAsNotRun": {
		file: "platform/clientapi/codec.go", text: "return http.StatusBadGateway",
		replacement: "return http.StatusServiceUnavailable",
	},
	"leavingEndpointsGetRequests": {
		file: "core/directory/directory.go", text: "if !r.removed && !r.entry.Leaving {",
		replacement: "if !r.removed {",
	},
	"stopAbortsRequests": {
		file: "io/clientconn/set.go", text: "return len(s.all())",
		replacement: "return 0",
	},
	"stoppingRouterRefusesAtOnce": {
		file: "io/entry/server.go", text: "const leaveShare = 0.34",
		replacement: "const leaveShare = 0",
	},
	"loweredLimitEndsIdleConnections": {
		file: "io/clientconn/set.go", text: "> max(idle, c.limit)+idleSlack",
		replacement: "> s.limits().Idle+idleSlack",
	},
	"leavingMarkInAnswersIsIgnored": {
		file: "platform/endpointapi/codec.go", text: "h.Get(headerLeaving) == \"1\"",
		replacement: "false",
	},
	"pausesAreIgnored": {
		file: "platform/endpointapi/codec.go", text: "r.Pause = retryafter.Parse(h.Get(headerRetryAfter))",
		replacement: "r.Pause = 0 * retryafter.Parse(h.Get(headerRetryAfter))",
	},
	"partOfTheLogConfirms": {
		file: "core/compactedlog/record.go", text: "return p.Next >= p.LogEnd",
		replacement: "return p.Next >= 0 || p.LogEnd > 0",
	},
	"generationOfTheStoreIsIgnored": {
		file: "platform/store/client.go", text: "if err != nil || generation <= 0 {",
		replacement: "if err != nil || generation <= 0 || generation > 0 {",
	},
	"versionsAreIgnored": {
		file: "core/origin/origin.go", text: "if o.Service != e.Service {\n\t\treturn false",
		replacement: "if o.Service != e.Service || o.Version != e.Version {\n\t\treturn true",
	},
	"versionsThatLeftAreForgotten": {
		file: "core/versionhistory/history.go", text: "if now.Sub(lastListed) <= window {",
		replacement: "if now.Sub(lastListed) <= window && s.listed[v] {",
		also:        &variant{file: "io/origins/find.go", text: "if k.Log == nil || !q.HasKey {", replacement: "if k.Log == nil || q.HasKey {"},
	},
	"crashesAreIgnored": {
		file: "core/quarantine/record.go", text: "const MaxCrashes = 3",
		replacement: "const MaxCrashes = 300",
	},
	"repeatedRequestsAreIgnored": {
		file: "core/quarantine/subject.go", text: "if s.Request != 0 {",
		replacement: "if s.Request == 1 {",
	},
	"clientKeyIsForwarded": {
		file: "platform/endpointapi/codec.go", text: "\"Authorization\", headerInstance",
		replacement: "headerInstance",
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
	replace := map[string]string{}
	for w := &v; w != nil; w = w.also {
		path, changed := w.write(t)
		replace[path] = changed
	}
	return writeOverlay(t, replace)
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
