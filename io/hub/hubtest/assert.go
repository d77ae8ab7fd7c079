package hubtest

import (
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/follow"
)

// AssertKnown checks that every router has the newest configuration version and the number of usable endpoints, from
// reads no older than the age.
func (f *Fleet) AssertKnown(version string, usable int, age time.Duration) {
	f.t.Helper()
	for _, r := range f.routers {
		f.assertContents(r, version, usable)
		for _, topic := range []*follow.Follower{r.configuration, r.registry} {
			_, sent, ok := topic.Position()
			assert.Assert(f.t, ok, r.self.Name)
			assert.Assert(f.t, f.Clock()-sent <= age, "%s knows what is %v old", r.self.Name, f.Clock()-sent)
		}
	}
}

// AssertServed checks that every router that the store serves has the newest configuration version and the number of usable
// endpoints.
func (f *Fleet) AssertServed(served func(name string) bool, version string, usable int) {
	f.t.Helper()
	for _, r := range f.routers {
		if served(r.self.Name) {
			f.assertContents(r, version, usable)
		}
	}
}

func (f *Fleet) assertContents(r *router, version string, usable int) {
	f.t.Helper()
	assert.Equal(f.t, r.configurationSink.version(), version, r.self.Name)
	assert.Equal(f.t, r.Usable(), usable, r.self.Name)
}

// AssertNotFresherThanStore checks that no router dates its data later than the last read that the store answered.
func (f *Fleet) AssertNotFresherThanStore() {
	f.t.Helper()
	last := f.store.LastRead(f.began)
	for _, r := range f.routers {
		_, sent, _ := r.registry.Position()
		assert.Assert(f.t, sent <= last, "%s: read sent at %v, the last was at %v", r.self.Name, sent, last)
	}
}

// AssertProven checks that every router has each version of the configuration that had been written when the read was sent that it takes
// for the newest. writtenAt are the times of the versions.
func (f *Fleet) AssertProven(writtenAt map[int]time.Time) {
	f.t.Helper()
	for _, r := range f.routers {
		_, sent, _ := r.configuration.Position()
		known := 0
		if record := r.configurationSink.record(); record != nil {
			known = versionOf(*record)
		}
		for version, at := range writtenAt {
			writtenBefore := at.Sub(f.began)+time.Hour < sent
			assert.Assert(f.t, version <= known || !writtenBefore, "%s has version %d, and version %d was written before its read", r.self.Name, known, version)
		}
	}
}
