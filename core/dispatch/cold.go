package dispatch

import (
	"slices"
	"time"

	"savoryfall/core/coldshare"
)

// coldWindow is the time in which requests to a cold endpoint are counted: the second of the users' bound, and what an attempt
// may take longer than the one before it to reach the endpoint.
const coldWindow = 1050 * time.Millisecond

// coldness is until when an endpoint is cold, by what it says and by what this router assumes, and which requests this router
// sent it lately. The zero value is warm.
type coldness struct {
	until   time.Time
	assumed time.Time
	sent    []time.Time
}

// left notes for how much longer the endpoint said that it is cold. That was some time ago, which is left out: a warm
// endpoint that is taken for cold gets a few requests less, a cold one that is taken for warm fails.
func (c *coldness) left(d time.Duration, now time.Time) {
	c.until = now.Add(d)
}

// assume takes the endpoint for cold for some time, whatever it says: what is heard next may be older than its start.
func (c *coldness) assume(d time.Duration, now time.Time) { c.assumed = now.Add(d) }

func (c *coldness) cold(now time.Time) bool { return now.Before(c.until) || now.Before(c.assumed) }

// note counts a request. Those before an endpoint turns out to be cold count too.
func (c *coldness) note(now time.Time) {
	c.forget(now)
	c.sent = append(c.sent, now)
}

func (c *coldness) forget(now time.Time) {
	old := 0
	for old < len(c.sent) && now.Sub(c.sent[old]) >= coldWindow {
		old++
	}
	c.sent = slices.Delete(c.sent, 0, old)
}

// lately is how many requests count now.
func (c *coldness) lately(now time.Time) int {
	c.forget(now)
	return len(c.sent)
}

// SetColdBound takes how far beyond their rate endpoints may be sent requests while they are cold.
func (d *Dispatcher) SetColdBound(b coldshare.Bound) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldBound = b
}

// SetFleet takes the routers that divide what cold endpoints bear.
func (d *Dispatcher) SetFleet(f coldshare.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet = f
}

// coldFor is how long an endpoint of its service is cold after its start.
func (d *Dispatcher) coldFor(e *endpoint) time.Duration {
	if s := d.service(e.entry.Service); s != nil {
		return s.ColdFor
	}
	return 0
}

// tooCold tells whether the endpoint is cold and has had all that this router may send it now. This holds however few
// others are left: beyond what it bears it fails, and with it all that it was sent.
func (c *contest) tooCold(e *endpoint) bool {
	return c.coldPerSecond > 0 && e.cold.cold(c.now) && e.cold.lately(c.now) >= c.coldShare(e)
}

func (c *contest) coldShare(e *endpoint) int {
	return c.d.fleet.Share(e.hash, c.d.coldBound.Limit(c.coldPerSecond))
}
