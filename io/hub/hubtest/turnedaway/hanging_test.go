package turnedaway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/io/hub/hubtest"
	"savoryfall/io/hub/hubtest/fakestore"
)

// stableAfter is the time after the return of the store from which on its routers must be up to date.
const stableAfter = 3 * time.Second

// delays are the greatest times that changes took to reach the routers that the store serves, and the least times that were left.
type delays struct {
	configuration, endpoint         time.Duration
	configurationLeft, endpointLeft time.Duration
}

func (d *delays) add(other delays) {
	d.configuration, d.endpoint = max(d.configuration, other.configuration), max(d.endpoint, other.endpoint)
	d.configurationLeft, d.endpointLeft = min(d.configurationLeft, other.configurationLeft), min(d.endpointLeft, other.endpointLeft)
}

// watch writes a change to the configuration and removes an endpoint again and again, and returns how long the routers that are served
// take to know it. A configuration is late after the bound, or when the store has been stable for that long; an endpoint counts if it
// was removed after that.
func watch(f *hubtest.Fleet, a *away, back time.Time, bound, length time.Duration) (worst delays) {
	worst = delays{configurationLeft: bound, endpointLeft: bound}
	stable := back.Add(stableAfter)
	var written []time.Time
	known, removed := map[string]int{}, map[string]bool{}
	next := time.Now().Add(100 * time.Millisecond)
	for end := time.Now().Add(length); time.Now().Before(end.Add(2 * bound)); time.Sleep(10 * time.Millisecond) {
		now := time.Now()
		if !now.Before(next) && now.Before(end) {
			written = append(written, now)
			f.Store().Put(fakestore.ConfigurationTopic, "config", fmt.Sprint(len(written)+1))
			f.RemoveEndpoint(len(written) - 1)
			next = next.Add(1300 * time.Millisecond)
		}
		for _, r := range f.Routers() {
			name := r.Self().Name
			if !a.serves(name) {
				continue
			}
			for ; known[name] < r.Version()-1; known[name]++ {
				at := written[known[name]]
				worst.configuration = max(worst.configuration, now.Sub(at))
				due := at.Add(bound)
				if due.Before(stable) {
					due = stable
				}
				worst.configurationLeft = min(worst.configurationLeft, due.Sub(now))
			}
			for i, at := range written {
				key := fmt.Sprint(name, " ", i)
				if at.Before(stable) || removed[key] || r.Uses(i) {
					continue
				}
				removed[key] = true
				worst.endpoint = max(worst.endpoint, now.Sub(at))
				worst.endpointLeft = min(worst.endpointLeft, bound-now.Sub(at))
			}
		}
	}
	for _, r := range f.Routers() {
		if a.serves(r.Self().Name) && (r.Version() != len(written)+1 || r.Uses(len(written)-1)) {
			// It has not learned of the last change at all.
			worst.configurationLeft = -bound
		}
	}
	return worst
}

// Guards against routers that stay on an old configuration, or use an endpoint that has left, because their reads hang that were sent
// before the store's return.
func TestChangesReachServedRoutersAfterSilentOutage(t *testing.T) {
	for _, c := range []struct {
		routers, further int
		silent           bool
		gap, bound, step time.Duration
	}{
		{6, 2, true, 0, 2 * time.Second, 100 * time.Millisecond},
		{6, 2, false, 400 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond},
		{6, 1, true, time.Second, 2 * time.Second, 100 * time.Millisecond},
		{10, 3, false, 0, 2 * time.Second, 100 * time.Millisecond},
		{10, 3, true, 400 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond},
		{16, 5, true, 200 * time.Millisecond, 2 * time.Second, 100 * time.Millisecond},
		{82, 28, true, time.Second, 3 * time.Second, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d routers, %v after", c.routers, c.gap), func(t *testing.T) {
			worst := delays{configurationLeft: c.bound, endpointLeft: c.bound}
			for shift := time.Duration(0); shift < time.Second; shift += c.step {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetWithin(t, c.routers, c.bound)
					defer f.Stop()
					time.Sleep(shift)
					f.Store().Silence(func(string) bool { return true })
					time.Sleep(4500 * time.Millisecond)
					f.Store().Silence(nil)
					back := time.Now()
					time.Sleep(c.gap)
					a := turnAway(f, c.further)
					if !c.silent {
						f.Store().Silence(nil)
						f.Store().Refuse(a.silent)
					}
					worst.add(watch(f, a, back, c.bound, 9*time.Second))
				})
			}
			t.Logf("changes took up to %v, removed endpoints up to %v; left were %v and %v", worst.configuration, worst.endpoint, worst.configurationLeft, worst.endpointLeft)
			assert.Assert(t, worst.configurationLeft >= 0 && worst.endpointLeft >= 0)
		})
	}
}
