package activeconfig_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/activeconfig"
	"savoryfall/core/releasenote"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	os.Exit(m.Run())
}

// edit describes a note of one operator. It is based on the state as of lag records ago, and adds, changes or (with
// withdraw) withdraws some models. With republish it is published twice.
type edit struct {
	lag       int
	items     []int
	withdraw  bool
	republish bool
}

const modelCount = 4

func genEdits() *rapid.Generator[[]edit] {
	one := rapid.Custom(func(t *rapid.T) edit {
		return edit{
			lag:       rapid.IntRange(0, 3).Draw(t, "read"),
			items:     rapid.SliceOfNDistinct(rapid.IntRange(0, modelCount-1), 1, 2, rapid.ID[int]).Draw(t, "items"),
			withdraw:  rapid.IntRange(0, 3).Draw(t, "drop") == 0,
			republish: rapid.IntRange(0, 4).Draw(t, "twice") == 0,
		}
	})
	return rapid.SliceOfN(one, 1, 25)
}

// recordsOf generates the records of the edits, and returns the parsed notes with them. Notes that do not parse are
// skipped.
func recordsOf(list []edit) (records [][]byte, notes []*releasenote.Note) {
	states := []*activeconfig.Configuration{{}}
	for i, e := range list {
		base := states[max(len(states)-1-e.lag, 0)]
		text := noteText(fmt.Sprintf("note-%d", i), base, e)
		parsed, err := releasenote.Parse("note", []byte(text))
		if err != nil {
			continue
		}
		for range 1 + map[bool]int{true: 1}[e.republish] {
			records = append(records, activeconfig.NoteRecord(text))
			last := states[len(states)-1]
			next, err := last.Apply(last.NextOffset(), activeconfig.NoteRecord(text))
			if err != nil {
				panic(err)
			}
			states = append(states, next)
		}
		notes = append(notes, parsed)
	}
	return records, notes
}

func noteText(id string, base *activeconfig.Configuration, e edit) string {
	text := fmt.Sprintf("id = %q\nbasedOn = %q\n", id, base.CurrentNoteID())
	withdrawn := ""
	for _, i := range e.items {
		name := fmt.Sprintf("m%d", i)
		switch {
		case e.withdraw && base.HasModel(name):
			withdrawn += fmt.Sprintf("%q,", name)
		case base.HasModel(name):
			text += fmt.Sprintf("[[changed.models]]\nname = %q\n", name)
		default:
			text += fmt.Sprintf("[[added.models]]\nname = %q\n", name)
		}
	}
	if withdrawn != "" {
		text += "[withdrawn]\nmodels = [" + withdrawn + "]\n"
	}
	return text
}

func applyAll(t interface{ Fatalf(string, ...any) }, records [][]byte) *activeconfig.Configuration {
	c := &activeconfig.Configuration{}
	var err error
	for o, data := range records {
		c, err = c.Apply(int64(o), data)
		if err != nil {
			t.Fatalf("apply %d: %v", o, err)
		}
	}
	return c
}

// lostUpdate reports whether an accepted note touched an item that an accepted note newer than its base had changed.
func lostUpdate(notes []*releasenote.Note, accepted func(id string) bool) bool {
	order := map[string]int{}
	newest := map[string]int{}
	for n, parsed := range notes {
		if !accepted(parsed.ID()) {
			continue
		}
		base, ok := order[parsed.BasedOn()]
		if !ok {
			base = -1
		}
		for _, i := range parsed.Items() {
			if last, changed := newest[i.Key()]; changed && last > base {
				return true
			}
			newest[i.Key()] = n
		}
		order[parsed.ID()] = n
	}
	return false
}

// Of two notes that are published concurrently, the second is refused: no accepted note overwrites a change that is
// newer than its base.
func TestNoAcceptedNoteLosesAnUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, notes := recordsOf(genEdits().Draw(t, "edits"))
		c := applyAll(t, records)
		if lostUpdate(notes, func(id string) bool { refusal, known := c.Refusal(id); return known && refusal == "" }) {
			t.Fatalf("an update was lost")
		}
	})
}

// Shows that lostUpdate detects an implementation that checks only whether items exist, not whether they changed since
// the note's base.
func TestFoldWithoutBaseCheckIsCaught(t *testing.T) {
	caught := 0
	for seed := range 200 {
		_, notes := recordsOf(genEdits().Example(seed))
		present := map[string]bool{}
		accepted := map[string]bool{}
		for _, n := range notes {
			ok := true
			for _, i := range n.Added() {
				ok = ok && !present[i.Key()]
			}
			for _, i := range append(n.Changed(), n.Withdrawn()...) {
				ok = ok && present[i.Key()]
			}
			if !ok {
				continue
			}
			accepted[n.ID()] = true
			for _, i := range n.Added() {
				present[i.Key()] = true
			}
			for _, i := range n.Withdrawn() {
				delete(present, i.Key())
			}
		}
		if lostUpdate(notes, func(id string) bool { return accepted[id] }) {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// A router that restores a snapshot from any point of the stream and then applies the rest reaches the same
// configuration as one that applied every record, even if it receives records twice.
func TestSnapshotAndTailEqualTheWholeStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, _ := recordsOf(genEdits().Draw(t, "edits"))
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		whole := applyAll(t, records)
		data, err := applyAll(t, records[:cut]).Snapshot()
		if err != nil {
			t.Fatalf("%v", err)
		}
		c, err := activeconfig.Restore(data)
		if err != nil {
			t.Fatalf("%v", err)
		}
		for o := rapid.IntRange(0, cut).Draw(t, "from"); o < len(records); o++ {
			c, err = c.Apply(int64(o), records[o])
			if err != nil {
				t.Fatalf("%v", err)
			}
		}
		if c.Digest() != whole.Digest() || c.NextOffset() != whole.NextOffset() || c.CurrentNoteID() != whole.CurrentNoteID() {
			t.Fatalf("from the snapshot %s at %d, from the start %s at %d", c.Digest(), c.NextOffset(), whole.Digest(), whole.NextOffset())
		}
	})
}

// A router that missed a record returns an error instead of applying the next one.
func TestGapIsNotApplied(t *testing.T) {
	c := &activeconfig.Configuration{}
	same, err := c.Apply(1, activeconfig.NoteRecord("id = \"a\"\n[[added.models]]\nname = \"m\"\n"))
	var gap activeconfig.GapError
	assert.Assert(t, errors.As(err, &gap))
	assert.Equal(t, gap.Want, int64(0))
	assert.Equal(t, same.NextOffset(), int64(0))
}

// A snapshot whose items do not match its digest is rejected.
func TestForgedSnapshotIsRefused(t *testing.T) {
	records, _ := recordsOf([]edit{{items: []int{0}}})
	data, err := applyAll(t, records).Snapshot()
	assert.NilError(t, err)
	_, err = activeconfig.Restore([]byte(strings.Replace(string(data), `"m0"`, `"m9"`, 1)))
	assert.ErrorContains(t, err, "digest")
}

// Two writers interleave the parts of their snapshots, and the data of one of them is invalid. The assembler still
// finds the valid snapshot.
func TestAssemblerFindsTheCompleteSnapshot(t *testing.T) {
	records, _ := recordsOf([]edit{{items: []int{0}}, {items: []int{1}}})
	data, err := applyAll(t, records).Snapshot()
	assert.NilError(t, err)
	whole, err := activeconfig.SnapshotRecords("one", data)
	assert.NilError(t, err)
	broken, err := activeconfig.SnapshotRecords("two", []byte(strings.Repeat("x", activeconfig.PartBytes+1)))
	assert.NilError(t, err)
	var r activeconfig.SnapshotAssembler
	for _, rec := range [][]byte{broken[0], whole[0], broken[1], []byte("not JSON")} {
		r.Add(rec)
	}
	assert.Assert(t, r.Newest() != nil)
	assert.Equal(t, r.Newest().NextOffset(), int64(2))
}

// Each invalid reference is refused with a specific reason.
func TestRefusals(t *testing.T) {
	base := "id = \"base\"\n[[added.models]]\nname = \"m\"\n" +
		"[[added.endpoints]]\nname = \"e\"\naddress = \"127.0.0.1:1\"\nfailureDomain = \"d\"\nmodels = [\"m\"]\n"
	c := applyAll(t, [][]byte{activeconfig.NoteRecord(base)})
	for _, tc := range []struct{ text, want string }{
		{"[withdrawn]\nmodels = [\"gone\"]\n", "models/gone is changed or withdrawn, but is not in force"},
		{"[[added.endpoints]]\nname = \"f\"\naddress = \"127.0.0.1:2\"\nfailureDomain = \"d\"\nmodels = [\"x\"]\n", `serves the model "x"`},
		{"[[added.endpoints]]\nname = \"f\"\naddress = \"127.0.0.1:1\"\nfailureDomain = \"d\"\nmodels = [\"m\"]\n", `has the address 127.0.0.1:1 of endpoint "e"`},
		{"[withdrawn]\nmodels = [\"m\"]\n", `endpoint "e" serves it`},
		{"[[added.versions]]\nmodel = \"x\"\nname = \"v\"\n", `the model "x", which is not in force`},
	} {
		n, err := releasenote.Parse("note", []byte("id = \"next\"\nbasedOn = \"base\"\n"+tc.text))
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(c.Check(n), tc.want), "%q", c.Check(n))
	}
}
