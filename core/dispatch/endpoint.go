package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/directory"
	"savoryfall/core/fleetload"
	"savoryfall/core/prefixcache"
)

// endpoint is what this router knows of one endpoint.
type endpoint struct {
	entry directory.Entry
	// hash identifies the endpoint's id between routers and in rankings.
	hash uint64
	// refusedAt is when the endpoint last refused a request of this router.
	refusedAt time.Time
	// running counts this router's own requests at the endpoint, unreadTokens the prompt tokens of those that have not
	// been answered yet.
	running int
	// sentWeight counts the requests that this router sent to the endpoint, decayed with time.
	sentWeight   float64
	sentAt       time.Time
	unreadTokens int
	// othersRunning is how many requests of other routers the hub reported or, without a hub, the last answer implied.
	othersRunning int
	othersAt      time.Time
	// othersReport is the hub's last report of the other routers.
	othersReport   fleetload.Load
	othersReportAt time.Time
	failures       decayingRatio
	breaker        breaker
	// untracked counts the requests beyond those that the routers know of, as of the endpoint's last load report.
	untracked   float64
	untrackedAt time.Time
	cache       prefixcache.Cache
	// latency is the time that a plain answer takes, in milliseconds.
	latency decayingMean
	// lastBytesAt is when the endpoint last sent any bytes.
	lastBytesAt time.Time
	replaced    bool
	// leaving is set once an answer has said that the endpoint's process is about to stop.
	leaving bool
	// pause is nil if the endpoint has never asked for one.
	pause *pause
	cold  warmup
	// view is the newest view of its service that the endpoint is in.
	view *poolView
	// history holds this router's recent requests at the endpoint while overload control is active.
	history ownHistory
	// departedAt is when the directory stopped listing the endpoint.
	departedAt time.Time
	state      endpointState
}

func newEndpoint(entry directory.Entry) *endpoint {
	return &endpoint{hash: xxhash.Sum64String(entry.ID)}
}

// shortHash identifies the endpoint between routers.
func (e *endpoint) shortHash() uint32 { return uint32(e.hash) }

// serviceHash identifies a service between routers.
func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// othersMaxAge is how long a load report counts: about the duration of a stream, after which the reported requests
// have ended.
const othersMaxAge = 2 * time.Second

// load estimates how many requests the endpoint has.
func (e *endpoint) load(now time.Time) float64 { return e.trackedLoad(now) + e.untrackedLoad(now) }

// trackedLoad returns the requests that routers wait for.
func (e *endpoint) trackedLoad(now time.Time) float64 {
	return float64(e.running) + e.currentOthers(now)
}

// currentOthers returns the requests that other routers wait for, by the last report.
func (e *endpoint) currentOthers(now time.Time) float64 {
	if now.Sub(e.othersAt) > othersMaxAge {
		return 0
	}
	return float64(e.othersRunning)
}

// sentHalfLife is the half-life of sentWeight: about as long as reports are late.
const sentHalfLife = 500 * time.Millisecond

// recentlySent returns the decayed count of requests that this router sent to the endpoint.
func (e *endpoint) recentlySent(now time.Time) float64 {
	return e.sentWeight * math.Exp2(-float64(now.Sub(e.sentAt))/float64(sentHalfLife))
}

// untrackedHalfLife is the time in which half of the requests that no client waits for are assumed to end: streams of
// some seconds that were abandoned midway.
const untrackedHalfLife = time.Second

// ownUntracked returns the untracked requests that an answer reported to this router and that are assumed to still
// run.
func (e *endpoint) ownUntracked(now time.Time) float64 {
	return e.untracked * e.untrackedShare(now.Sub(e.untrackedAt))
}

// untrackedShare returns the share of untracked requests that still run some time after they were reported. Calls of a
// plain service end within their usual latency: when they were kept for a second, the few that an answer happened to
// report made a service look half full while it did a fifth of what it can.
func (e *endpoint) untrackedShare(elapsed time.Duration) float64 {
	half := float64(untrackedHalfLife)
	if !e.latency.at.IsZero() {
		half = min(half, e.latency.value*float64(time.Millisecond))
	}
	return math.Exp2(-float64(elapsed) / max(half, 1))
}

// untrackedLoad returns the untracked requests that an answer reported to any router and that are assumed to still
// run.
func (e *endpoint) untrackedLoad(now time.Time) float64 {
	own := e.ownUntracked(now)
	if now.Sub(e.othersReportAt) > othersMaxAge {
		return own
	}
	return max(own, float64(e.othersReport.Untracked)*e.untrackedShare(now.Sub(e.othersReportAt)))
}

// recordLoad records the load that an answer reports. Compared with the hub's count of requests that routers wait for,
// it shows those that the endpoint still executes for disconnected clients; without a hub it is all that is known of
// the other routers.
func (e *endpoint) recordLoad(l Load, now time.Time) {
	total := l.Running + l.Waiting
	if now.Sub(e.othersReportAt) <= othersMaxAge {
		e.untracked, e.untrackedAt = float64(max(total-e.running-e.othersRunning, 0)), now
		return
	}
	e.othersRunning, e.othersAt = max(total-e.running, 0), now
}

// backlog returns how many prompt tokens the endpoint still has to read before it answers the requests that it has.
func (e *endpoint) backlog(now time.Time) int {
	if now.Sub(e.othersReportAt) > othersMaxAge {
		return e.unreadTokens
	}
	return e.unreadTokens + e.othersReport.PendingPromptTokens
}

// failureRate returns the share of recent attempts that failed, of this router and the others.
func (e *endpoint) failureRate(now time.Time) float64 {
	e.failures.decayTo(now)
	bad, all := e.failures.bad, e.failures.all
	if now.Sub(e.othersReportAt) <= othersMaxAge {
		bad += float64(e.othersReport.Failures)
		all += float64(e.othersReport.Attempts)
	}
	return min(bad/(all+priorSuccesses), 1)
}

// decayingRatio counts failures and attempts, decayed with time so that an avoided endpoint gets another chance.
type decayingRatio struct {
	bad, all float64
	at       time.Time
}

const (
	// failureHalfLife is the half-life of failures and attempts: a few times the interval between two requests of one
	// router to one endpoint, which is about a second.
	failureHalfLife = 2500 * time.Millisecond
	// priorSuccesses is how many successful attempts every endpoint is credited with, so that one failure among no
	// others is not certainty.
	priorSuccesses = 2.0
)

func (r *decayingRatio) decayTo(now time.Time) {
	if r.all > minDecayedWeight {
		f := decay(now.Sub(r.at))
		r.bad *= f
		r.all *= f
	}
	r.at = now
}

// minDecayedWeight is the weight below which attempts are not decayed further, which spares the exponential for most
// endpoints.
const minDecayedWeight = 1e-3

// decay returns the remaining weight of an observation of that age.
func decay(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(failureHalfLife)) }

func (r *decayingRatio) add(bad, all float64, now time.Time) {
	r.decayTo(now)
	r.bad += bad
	r.all += all
}

// decayingMean is an exponentially weighted mean that decays with time towards a default: an endpoint that was found
// slow gets no requests, so only time can show that it has recovered. The zero value is empty.
type decayingMean struct {
	value float64
	at    time.Time
}

// smoothingFactor is the weight of the newest value: about five values decide.
const smoothingFactor = 0.25

func (m *decayingMean) add(v float64, now time.Time) {
	if m.at.IsZero() {
		m.value = v
	} else {
		m.value += smoothingFactor * (v - m.value)
	}
	m.at = now
}

func (m *decayingMean) decayedOr(usual float64, now time.Time) float64 {
	if m.at.IsZero() {
		return usual
	}
	return usual + (m.value-usual)*decay(now.Sub(m.at))
}

// lastOr returns the mean without decay, for values that time alone does not change.
func (m *decayingMean) lastOr(usual float64) float64 {
	if m.at.IsZero() {
		return usual
	}
	return m.value
}

// prefillRate learns how many prompt tokens an engine reads in a millisecond.
type prefillRate struct{ learned decayingMean }

const (
	// defaultPrefillRate is the rate in tokens a millisecond until one is learned; large engines read about 100.
	defaultPrefillRate = 100.0
	// minMeasuredTokens is the prompt length from which the time to the first event is mostly that of reading the
	// prompt.
	minMeasuredTokens = 4000
	// firstStepMs is the part of the time to the first event that does not depend on the prompt.
	firstStepMs = 35.0
)

func (p *prefillRate) perMs() float64 {
	if p.learned.at.IsZero() {
		return defaultPrefillRate
	}
	return p.learned.value
}

func (p *prefillRate) observe(tokens int, took time.Duration, now time.Time) {
	ms := float64(took)/float64(time.Millisecond) - firstStepMs
	if tokens < minMeasuredTokens || ms <= 0 {
		return
	}
	rate := float64(tokens) / ms
	// A rate far from the default means that the prompt was cached after all, or that it waited.
	if rate > defaultPrefillRate*4 || rate < defaultPrefillRate/4 {
		return
	}
	p.learned.add(rate, now)
}

// LastBytesAt returns when this router last received bytes from an endpoint of the service, zero if it never has.
func (d *Dispatcher) LastBytesAt(service string) (at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.pools[service] {
		if e.lastBytesAt.After(at) {
			at = e.lastBytesAt
		}
	}
	return at
}
