package settings_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"savoryfall/core/settings"
)

const validEntry = `[vm]
name = "entry-1"
failureDomain = "temuco-uno"
[clients]
address = "10.1.0.40:8227"
[readiness]
address = "10.1.0.40:8220"
[metrics]
address = "10.1.0.40:9464"
[peers]
address = "10.1.0.40:7340"
[store]
address = "10.200.1.7:8223"
`

func TestEntryDefaults(t *testing.T) {
	s, err := settings.ParseEntry("entry.toml", []byte(validEntry))
	assert.NilError(t, err)
	assert.Equal(t, s.WithdrawnKeyTTL(), 5*time.Second)
	assert.Equal(t, s.ShutdownGrace(), 8*time.Second)
	assert.Equal(t, s.Cores(), 1.0)
	assert.Equal(t, s.Retries().Window(), 10*time.Second)
	assert.Equal(t, s.StoreAddress(), "10.200.1.7:8223")
	assert.Equal(t, s.OverloadControl().Mode(), settings.OverloadAuto)
	assert.Equal(t, s.OverloadControl().Placement(), settings.PlaceByLoad)
	assert.Equal(t, s.OverloadControl().Limit(), settings.LimitBySlots)
	assert.Equal(t, s.OverloadControl().MaxWait(), 100*time.Millisecond)
	assert.Equal(t, len(s.Terms()), 0)
}

// All errors are reported at once, each with its line, its key, what was found and what is allowed.
func TestBadEntrySettings(t *testing.T) {
	for name, text := range map[string]string{
		"entryMisspelt":   validEntry + "[retries]\nration = 0.5\n",
		"entryOutOfRange": validEntry + "[retries]\nratio = -1\nwindow = \"1ms\"\n[keys]\nwithdrawnWithin = \"ms\"\n",
		"entryOverload":   validEntry + "[overloadControl]\nmode = \"always\"\nplacement = \"random\"\nlimit = \"none\"\nmaxWait = \"6s\"\nmaxWaiting = -1\nreportTerm = \"1ms\"\naccounts = 0\nslowReaderShare = 0.95\nconnectionBytes = 1\n",
		"entryMissing":    "[vm]\nname = \"entry-1\"\ncores = \"many\"\n[store]\naddress = \"store:80\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ParseEntry("entry.toml", []byte(text))
			golden.Assert(t, err.Error()+"\n", name+".golden")
		})
	}
}
