package quarantine_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/quarantine"
)

// culprit is a request that crashes each engine that runs it.
type culprit struct {
	s quarantine.Subject
	// crashAfter is the time from the request's arrival to the crash, pause the one from a failure to the next attempt, in seconds.
	crashAfter, pause float64
	nextAt            float64
	arrivals, ends    []float64
}

// addCulprits adds requests that begin one after the other.
func (f *fleet) addCulprits(n int, every, crashAfter, pause float64) {
	for i := range n {
		s := f.soundRequest()
		f.culprits = append(f.culprits, &culprit{s: s, crashAfter: crashAfter, pause: pause, nextAt: f.now + every*float64(i)})
	}
}

// sendAgain sends the requests that clients send again now.
func (f *fleet) sendAgain() {
	for _, c := range f.culprits {
		if f.now >= c.nextAt {
			c.nextAt = math.Inf(1)
			f.send(&job{s: c.s, asked: f.now, bad: true, culprit: c})
		}
	}
	due := f.later
	f.later = nil
	for _, j := range due {
		if f.now < j.againAt {
			f.later = append(f.later, j)
			continue
		}
		f.send(j)
	}
}

// after returns how many of the request's arrivals were later than the time after its third end.
func (c *culprit) after(seconds float64) (n int) {
	if len(c.ends) < 3 {
		return 0
	}
	for _, at := range c.arrivals {
		if at > c.ends[2]+seconds {
			n++
		}
	}
	return n
}

// Guards against requests that crash engine after engine, and against sound ones that are refused because they were beside.
func TestModelOfRepeatedRequests(t *testing.T) {
	for _, routers := range []int{3, 6, 300} {
		for _, c := range []struct {
			name       string
			culprits   int
			every      float64
			crashAfter float64
		}{
			{"none", 0, 0, 0},
			{"one, at once", 1, 0, 0.01},
			{"one, after many events", 1, 0, 0.3},
			{"two at once", 2, 0, 0.06},
			{"ten at once", 10, 0, 0.06},
			{"a new one each second", 15, 1, 0.06},
		} {
			t.Run(fmt.Sprintf("%d routers, %s", routers, c.name), func(t *testing.T) {
				t.Parallel()
				engines := 16
				if routers > 100 {
					engines = 30
				}
				f := newModel(routers, engines, 0)
				f.byChance, f.repeats = c.culprits == 0, 3
				f.play(2, 10*float64(engines), 0)
				began := f.now
				f.addCulprits(c.culprits, c.every, c.crashAfter, 0.05)
				f.crashes = nil
				f.play(20, 10*float64(engines), 0)
				ends, arrivals, late := 0, 0, 0
				for _, c := range f.culprits {
					ends, arrivals, late = max(ends, len(c.ends)), arrivals+c.after(0), max(late, c.after(knownTime))
				}
				t.Logf("%d crashes, at most %d under one request; %d arrivals after a third, at most %d of one later than %v s; served %.3f before, %.3f in 3 s, %.3f of all; %d sound ones refused",
					len(f.crashes), ends, arrivals, late, knownTime, f.servedShare(0, began), f.servedShare(began, began+3), f.servedShare(began, f.now), f.refused)
				requests, parts := 0, 0
				for k := range f.refusedFor {
					if k.Request {
						requests++
					} else {
						parts++
					}
				}
				t.Logf("%d sound requests and %d parts were quarantined", requests, parts)
				assert.Check(t, late <= 1, "%d arrivals", late)
			})
		}
	}
}

// knownTime is the time after a crash from which on all routers know of it, in seconds.
const knownTime = 0.5
