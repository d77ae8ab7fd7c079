package command

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// shortKeyTerm is how long routers of these tests may use a key after its withdrawal.
	shortKeyTerm = 600 * time.Millisecond
	// backlogReadTime is how long the store takes for each answer while routers read what they have missed.
	backlogReadTime = 150 * time.Millisecond
)

// withShortKeyTerm makes a router refuse requests soon after its last read.
func withShortKeyTerm(vm *entryVM) { vm.lease.SetTerm(shortKeyTerm) }

// writeBacklog writes more versions than an answer of the store holds; the last withdraws the key.
func (f *entryFleet) writeBacklog(first, last int) {
	for v := first; v < last; v++ {
		f.putConfiguration(v, "good", "plain")
	}
	f.putConfiguration(last, "new", "plain")
}

// Guards against withdrawn keys that are accepted again by routers that come back from a cut and have read a part of what was
// written meanwhile, by those that follow them, and by those that start beside them.
func TestWithdrawnKeyAfterCutWithBacklog(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{1, 3} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			f := newConfiguredEntryFleet(t, routers, withShortKeyTerm)
			f.store.SetDown(true)
			f.writeBacklog(2, 14)
			<-time.After(2 * shortKeyTerm)
			for _, vm := range f.vms {
				assert.Equal(t, f.get(vm, "/read/x", "good").Status, 503)
			}
			f.store.SetDelay(backlogReadTime)
			f.store.SetDown(false)
			f.start(routers)
			f.waitFor("all routers serve the new key", func() bool {
				served := 0
				for _, vm := range f.vms {
					// A machine that is busy may leave a request without an answer, which is no sign that its key was accepted.
					withdrawn := f.get(vm, "/read/x", "good")
					assert.Check(t, slices.Contains([]int{0, 401, 503}, withdrawn.Status), "%s answers %d to a withdrawn key", vm.settings.VM().Name(), withdrawn.Status)
					if f.get(vm, "/read/x", "new").Status == 200 {
						served++
					}
				}
				return served == len(f.vms)
			})
		})
	}
}

// Guards against a router that cannot be told from one that is up to date while it reads what it has missed.
func TestMetricsShowTheBacklog(t *testing.T) {
	t.Parallel()
	f := newConfiguredEntryFleet(t, 1, withShortKeyTerm)
	vm := f.vms[0]
	records := func() string {
		return regexp.MustCompile(`savoryfall_topic_behind_records\{topic="configuration"\} (\d+)`).FindStringSubmatch(f.metrics(vm))[1]
	}
	assert.Equal(t, records(), "0")
	f.store.SetDown(true)
	f.writeBacklog(2, 14)
	<-time.After(shortKeyTerm)
	f.store.SetDelay(backlogReadTime)
	f.store.SetDown(false)
	f.waitFor("the router is behind", func() bool { return records() != "0" })
	assert.Assert(t, !strings.Contains(f.metrics(vm), `savoryfall_topic_behind_seconds{topic="configuration"} 0`+"\n"))
	f.waitFor("the router has caught up", func() bool { return records() == "0" })
	assert.Assert(t, strings.Contains(f.metrics(vm), `savoryfall_topic_behind_seconds{topic="configuration"} 0`+"\n"))
}
