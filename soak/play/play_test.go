package main

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/platform/day"
	"savoryfall/platform/site"
)

// playDay plays a day of the file with the routers of the program.
func playDay(t *testing.T, program, name string) (err error) {
	s, err := site.Read(filepath.Join("testdata", "site.toml"))
	assert.NilError(t, err)
	d, err := day.Read(filepath.Join("testdata", "days.toml"), name)
	assert.NilError(t, err)
	p, err := newPlay(options{seed: 1, dir: t.TempDir(), program: program, readers: 2, out: t.Output()}, s, d)
	defer p.close()
	assert.NilError(t, err)
	return p.run(context.Background())
}

// replacement replaces a piece of text of a source file.
type replacement struct{ file, text, by string }

// buildWith builds the router with replaced pieces of its sources.
func buildWith(t *testing.T, replacements ...replacement) (program string) {
	root := filepath.Join("..", "..")
	overlay := map[string]map[string]string{"Replace": {}}
	for _, r := range replacements {
		path, err := filepath.Abs(filepath.Join(root, r.file))
		assert.NilError(t, err)
		source, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(source), r.text), "%s lacks %q", r.file, r.text)
		changed := filepath.Join(t.TempDir(), filepath.Base(path))
		assert.NilError(t, os.WriteFile(changed, []byte(strings.Replace(string(source), r.text, r.by, 1)), 0o600))
		overlay["Replace"][path] = changed
	}
	data, err := json.Marshal(overlay)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "overlay.json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	program = filepath.Join(t.TempDir(), "savoryfall")
	out, err := exec.Command("go", "build", "-overlay", file, "-o", program, "savoryfall").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// Guards against routers that stay on an old configuration after an outage of the store in which calls to it hang, while it turns the
// router away that reads for the others, and those that read next.
func TestDayIsHeld(t *testing.T) {
	t.Parallel()
	assert.NilError(t, playDay(t, buildWith(t), "silent outage"))
}

// Guards against a judge that finds nothing: each of these routers breaks a sentence of the rule.
func TestBrokenRoutersAreCaught(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		day, broken  string
		replacements []replacement
	}{
		"late": {"turned away", "late: ", []replacement{
			{"io/hub/offer.go", "	n := routers.Len()\n	switch {", "	n := routers.Len()\n	switch {\n	case n > 0:\n		return 0"},
			{"core/readrotation/rotation.go", "if !r.mayAssign(router, current, hub, now) {", "if !r.mayAssign(router, current, hub, now) || now > 0 {"},
		}},
		"withdrawn": {"long outage", "withdrawn key: ", []replacement{
			{"core/freshness/lease.go", "return known && age < time.Duration(l.term.Load())", "return known && age >= 0"},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.ErrorContains(t, playDay(t, buildWith(t, c.replacements...), c.day), c.broken)
		})
	}
}
