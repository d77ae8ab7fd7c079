package settings_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"savoryfall/core/settings"
)

const validSettings = `[vm]
name = "entry-1"
failureDomain = "temuco-uno"
failureDomains = ["temuco-uno", "temuco-dos"]
[callers]
address = "127.0.0.1:8080"
[operators]
address = "127.0.0.1:8081"
[peers]
address = "127.0.0.1:8082"
[platform]
log = "http://127.0.0.1:7100"
vmList = "http://127.0.0.1:7101"
`

func TestDefaultsFillTheRest(t *testing.T) {
	s, err := settings.Parse("router.toml", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Routing().Policy(), "bounded")
	assert.Equal(t, s.Routing().Bound(), 1.3)
	assert.Equal(t, s.Limits().Attempts(), 3)
}

// All errors are reported at once, each with its line, its key, what was found and what is allowed.
func TestBadSettings(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"misspelt", validSettings + "[routing]\nbuond = 1.5\n"},
		{"wrongTypes", validSettings + "[limits]\nattempts = \"three\"\ndeadline = 5\n[routing]\nbound = \"high\"\n"},
		{"outOfRange", validSettings + "[limits]\nattempts = 0\nretryRatio = 3.5\n"},
		{"missing", "[vm]\nname = \"entry-1\"\n"},
		{"duplicateAddress", `[vm]
name = "entry-1"
failureDomain = "temuco-uno"
[callers]
address = "127.0.0.1:8080"
[operators]
address = "127.0.0.1:8080"
[peers]
address = "entry:8082"
[platform]
log = "ftp://127.0.0.1"
vmList = "http://127.0.0.1:7101"
`},
		{"unknownDomain", `[vm]
name = "entry-1"
failureDomain = "temuco-tres"
failureDomains = ["temuco-uno", "temuco-dos"]
[callers]
address = "127.0.0.1:8080"
certificate = "cert.pem"
[operators]
address = "127.0.0.1:8081"
[peers]
address = "127.0.0.1:8082"
[platform]
log = "http://127.0.0.1:7100"
vmList = "http://127.0.0.1:7101"
`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := settings.Parse("router.toml", []byte(tc.text))
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", tc.name+".golden")
		})
	}
}

// FuzzParse checks that no input causes a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("fuzz", data)
		assert.Assert(t, err != nil || s != nil)
	})
}
