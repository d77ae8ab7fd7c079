package dispatch

import (
	"math"
	"slices"
	"time"

	"savoryfall/core/coldlimit"
)

// coldWindow is the time in which requests to a cold endpoint are counted: the one second of the users' bound, plus
// how much longer one attempt may take to reach the endpoint than the one before it.
const coldWindow = 1050 * time.Millisecond

// warmup records until when an endpoint is cold, as it reports and as this router assumes, and which requests this
// router sent it recently. The zero value is warm.
type warmup struct {
	until     time.Time
	assumed   time.Time
	sentTimes []time.Time
}

// setRemaining records for how much longer the endpoint reports to be cold. The age of the report is ignored: a warm
// endpoint that is treated as cold gets a few requests less, but a cold one that is treated as warm fails.
func (w *warmup) setRemaining(d time.Duration, now time.Time) {
	w.until = now.Add(d)
}

// assume treats the endpoint as cold for some time, whatever it reports: its next report may be older than its start.
func (w *warmup) assume(d time.Duration, now time.Time) { w.assumed = now.Add(d) }

func (w *warmup) cold(now time.Time) bool { return now.Before(w.until) || now.Before(w.assumed) }

// countRequest counts a request. Those sent before an endpoint turns out to be cold count too.
func (w *warmup) countRequest(now time.Time) {
	w.dropOld(now)
	w.sentTimes = append(w.sentTimes, now)
}

func (w *warmup) dropOld(now time.Time) {
	old := 0
	for old < len(w.sentTimes) && now.Sub(w.sentTimes[old]) >= coldWindow {
		old++
	}
	w.sentTimes = slices.Delete(w.sentTimes, 0, old)
}

// recentRequests returns how many requests are in the window.
func (w *warmup) recentRequests(now time.Time) int {
	w.dropOld(now)
	return len(w.sentTimes)
}

// SetColdBound sets how far beyond their rate cold endpoints may be sent requests.
func (d *Dispatcher) SetColdBound(b coldlimit.Bound) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldBound = b
}

// SetFleet sets the routers that share the capacity of cold endpoints.
func (d *Dispatcher) SetFleet(f coldlimit.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet = f
}

// coldFor returns how long an endpoint of its service is cold after its start.
func (d *Dispatcher) coldFor(e *endpoint) time.Duration {
	if s := d.service(e.entry.Service); s != nil {
		return s.ColdFor
	}
	return 0
}

// coldLimitReached reports whether the endpoint is cold and this router has used up its share. It applies even if no
// other endpoint is left: beyond its limit a cold endpoint fails, and with it all requests that it has.
func (c *scoring) coldLimitReached(e *endpoint) bool {
	return c.coldPerSecond > 0 && e.cold.cold(c.now) && e.cold.recentRequests(c.now) >= c.coldLimit(e)
}

// coldLimit returns how many requests this router may send to the endpoint in a second: its share, and what the others do not
// use of theirs.
func (c *scoring) coldLimit(e *endpoint) int {
	limit := c.d.coldBound.Limit(c.coldPerSecond)
	share := c.d.fleet.Share(e.hash, limit)
	others, known := c.othersSend(coldWindow)
	if !known {
		return share
	}
	return max(share, limit-int(math.Ceil(others)))
}
