package releasenote_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"savoryfall/core/releasenote"
)

const keyDigest = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

// All errors in an invalid note are reported, each with its line, its key, what was found and what is allowed.
func TestBadNotes(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"empty", ""},
		{"noItems", "id = \"n\"\n"},
		{"huge", strings.Repeat("#", 10<<20)},
		{"notUTF8", "id = \"n\"\nbasedOn = \"\xff\"\n"},
		{"syntax", "id = \"n\"\nadded = [\n"},
		{"twice", "id = \"n\"\n[[added.models]]\nname = \"m\"\n[[changed.models]]\nname = \"m\"\n[withdrawn]\nmodels = [\"m\"]\n"},
		{"basedOnItself", "id = \"n\"\nbasedOn = \"n\"\n[[added.models]]\nname = \"m\"\n"},
		{"manyFaults", "id = 7\n\n[[added.accounts]]\nname = \"a\"\nkeyDigest = \"secret\"\nwieght = 2\n\n" +
			"[[added.endpoints]]\nname = \"e\"\nkind = \"engin\"\naddress = \"nowhere\"\nmodels = \"m\"\n\n" +
			"[[added.services]]\nname = \"s\"\npath = \"permits\"\nnotRepeatable = [\"POST\"]\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := releasenote.Parse("note.toml", []byte(tc.text))
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", tc.name+".golden")
		})
	}
}

// FuzzParse checks that a note which is accepted for arbitrary input is accepted again when it is parsed from its own
// text.
func FuzzParse(f *testing.F) {
	f.Add([]byte("id = \"n\"\n[[added.accounts]]\nname = \"a\"\nkeyDigest = \"" + keyDigest + "\"\n"))
	f.Add([]byte("id = \"n\"\nadded = {models = [{name = \"m\"}]}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := releasenote.Parse("fuzz", data)
		if err != nil {
			return
		}
		again, err := releasenote.Parse("fuzz", []byte(n.Text()))
		assert.NilError(t, err)
		assert.Equal(t, len(again.Items()), len(n.Items()))
	})
}
