package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/board"
	"savoryfall/core/directory"
	"savoryfall/core/warmth"
)

// endpoint is what this router knows of one endpoint.
type endpoint struct {
	entry directory.Entry
	// hash stands for the endpoint's id between routers and in rankings.
	hash uint64
	// running are this router's own requests there; unread the prompt tokens of those that have not begun to answer.
	running int
	// sent are the requests that this router sent there, faded with time.
	sent   float64
	sentAt time.Time
	unread int
	// others is how many requests of other routers the hub told of, or without a hub the last answer.
	others   int
	othersAt time.Time
	// heard is what the hub told of the other routers.
	heard    board.Load
	heardOf  time.Time
	failures decaying
	breaker  breaker
	// hidden are requests that the endpoint has beyond those that the routers count, when it last told.
	hidden   float64
	hiddenAt time.Time
	cache    warmth.Cache
	// latency is the time in milliseconds that a plain answer takes.
	latency average
	// heardAt is when the last bytes came.
	heardAt time.Time
	gone    bool
	cold    coldness
	// leftAt is when the list named it no more.
	leftAt time.Time
}

func newEndpoint(entry directory.Entry) *endpoint {
	return &endpoint{hash: xxhash.Sum64String(entry.ID)}
}

// name is the endpoint's between routers.
func (e *endpoint) name() uint32 { return uint32(e.hash) }

// nameOf is the name of a service between routers.
func nameOf(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// othersAge is how long the load that an answer told of counts: about the time of a stream, after which the requests
// of then have ended.
const othersAge = 2 * time.Second

// load is how many requests the endpoint is believed to have.
func (e *endpoint) load(now time.Time) float64 { return e.counted(now) + e.unaccounted(now) }

// counted are the requests that routers wait for.
func (e *endpoint) counted(now time.Time) float64 {
	return float64(e.running) + e.ofOthers(now)
}

// ofOthers are the requests that other routers were told to wait for.
func (e *endpoint) ofOthers(now time.Time) float64 {
	if now.Sub(e.othersAt) > othersAge {
		return 0
	}
	return float64(e.others)
}

// sentHalf is the time in which what was sent loses half its weight: about as long as views are late.
const sentHalf = 500 * time.Millisecond

// sentLately are the requests that this router sent there lately.
func (e *endpoint) sentLately(now time.Time) float64 {
	return e.sent * math.Exp2(-float64(now.Sub(e.sentAt))/float64(sentHalf))
}

// hiddenHalf is the time in which half of the requests that nobody waits for are taken to have ended: streams of some
// seconds that were left midway.
const hiddenHalf = time.Second

// hiddenLeft is what is left of the hidden requests that this router was told of.
func (e *endpoint) hiddenLeft(now time.Time) float64 {
	return e.hidden * e.hiddenPart(now.Sub(e.hiddenAt))
}

// hiddenPart is the part of the hidden requests that is left some time after they were told of. Calls of a plain service
// end within the time that they take: kept for a second, the few that an answer told of by chance were taken for a service
// that is half full while it did a fifth of what it can.
func (e *endpoint) hiddenPart(after time.Duration) float64 {
	half := float64(hiddenHalf)
	if !e.latency.at.IsZero() {
		half = min(half, e.latency.value*float64(time.Millisecond))
	}
	return math.Exp2(-float64(after) / max(half, 1))
}

// unaccounted is what is left of the hidden requests that this router, or another, was told of.
func (e *endpoint) unaccounted(now time.Time) float64 {
	own := e.hiddenLeft(now)
	if now.Sub(e.heardOf) > othersAge {
		return own
	}
	return max(own, float64(e.heard.Hidden)*e.hiddenPart(now.Sub(e.heardOf)))
}

// told takes the load that an answer tells of. Against the hub's count, which is of requests that routers wait for, it
// shows those that the endpoint still works on for nobody; without a hub it is what is known of the other routers.
func (e *endpoint) told(l Load, now time.Time) {
	total := l.Running + l.Waiting
	if now.Sub(e.heardOf) <= othersAge {
		e.hidden, e.hiddenAt = float64(max(total-e.running-e.others, 0)), now
		return
	}
	e.others, e.othersAt = max(total-e.running, 0), now
}

// toRead is how many prompt tokens the endpoint has still to read before it answers what it was sent.
func (e *endpoint) toRead(now time.Time) int {
	if now.Sub(e.heardOf) > othersAge {
		return e.unread
	}
	return e.unread + e.heard.Unread
}

// failing is the share of attempts that failed lately, of this router's and the others'.
func (e *endpoint) failing(now time.Time) float64 {
	e.failures.fade(now)
	bad, all := e.failures.bad, e.failures.all
	if now.Sub(e.heardOf) <= othersAge {
		bad += float64(e.heard.Bad)
		all += float64(e.heard.All)
	}
	return min(bad/(all+doubt), 1)
}

// decaying counts failures and attempts that fade with time, so that an endpoint that was avoided gets another chance.
type decaying struct {
	bad, all float64
	at       time.Time
}

const (
	// halfLife is the time in which what was seen loses half its weight: a few times the interval between two
	// requests of one router to one endpoint, at about one a second.
	halfLife = 2500 * time.Millisecond
	// doubt is how many good attempts everyone is credited with, so that one failure among none is not certainty.
	doubt = 2.0
)

func (c *decaying) fade(now time.Time) {
	if c.all > negligible {
		f := faded(now.Sub(c.at))
		c.bad *= f
		c.all *= f
	}
	c.at = now
}

// negligible is the weight below which attempts are not faded further, which spares most endpoints the logarithm.
const negligible = 1e-3

// faded is what is left of the weight of something seen that long ago.
func faded(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

func (c *decaying) add(bad, all float64, now time.Time) {
	c.fade(now)
	c.bad += bad
	c.all += all
}

// average is an exponentially weighted mean that fades with time towards what is usual: an endpoint that was found slow
// gets nothing, so only time can show that it has recovered. The zero value has seen nothing.
type average struct {
	value float64
	at    time.Time
}

// weightOfNew is how much the newest value counts: some five values decide.
const weightOfNew = 0.25

func (a *average) add(v float64, now time.Time) {
	if a.at.IsZero() {
		a.value = v
	} else {
		a.value += weightOfNew * (v - a.value)
	}
	a.at = now
}

func (a *average) or(usual float64, now time.Time) float64 {
	if a.at.IsZero() {
		return usual
	}
	return usual + (a.value-usual)*faded(now.Sub(a.at))
}

// last is the mean as it was when a value came last, for what time alone does not change.
func (a *average) last(usual float64) float64 {
	if a.at.IsZero() {
		return usual
	}
	return a.value
}

// prefillRate learns how many prompt tokens an engine reads in a millisecond.
type prefillRate struct{ learned average }

const (
	// usualPrefill is the rate in tokens a millisecond until one is learned; large engines read about 100.
	usualPrefill = 100.0
	// telling is from how many tokens on the time to the first event is mostly that of reading them.
	telling = 4000
	// firstStep is the time in milliseconds to the first event that does not depend on the prompt.
	firstStep = 35.0
)

func (p *prefillRate) perMs() float64 {
	if p.learned.at.IsZero() {
		return usualPrefill
	}
	return p.learned.value
}

func (p *prefillRate) saw(tokens int, took time.Duration, now time.Time) {
	ms := float64(took)/float64(time.Millisecond) - firstStep
	if tokens < telling || ms <= 0 {
		return
	}
	rate := float64(tokens) / ms
	// A rate far off is a prompt that was cached after all, or one that waited.
	if rate > usualPrefill*4 || rate < usualPrefill/4 {
		return
	}
	p.learned.add(rate, now)
}
