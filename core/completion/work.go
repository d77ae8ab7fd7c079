package completion

import (
	"math"
	"time"
)

// Work is what a request asks of an endpoint, and what the endpoint has to do before and beside it. The zero value takes no time;
// unknown quantities are 0.
type Work struct {
	// Running and Waiting are the requests at the endpoint without this one, Slots is how many it runs at once.
	// LoadError is the standard deviation of their number if it is estimated.
	Running, Waiting float64
	LoadError        float64
	Slots            int
	// HoldTime is the mean time for which a request holds a slot of this endpoint.
	HoldTime time.Duration
	// UrgentShare is the share of the slots released meanwhile that more urgent requests take.
	UrgentShare float64
	// UnreadTokens is the number of prompt tokens that the endpoint has to read before it begins with this prompt, MissingTokens
	// that of this prompt which it has not cached, and FetchedTokens how many of these it fetches from another endpoint.
	UnreadTokens, MissingTokens, FetchedTokens int
	// TokensPerMs is the rate of reading at ease.
	TokensPerMs float64
	// EventTime is the time between two events of a stream at ease, Events their expected number. Events is 0 for a plain answer,
	// which takes PlainTime at ease.
	EventTime time.Duration
	Events    float64
	PlainTime time.Duration
	// Slowdown is the factor by which all work takes longer at the endpoint than at ease.
	Slowdown float64
	// HeldTokens is the number of prompt and output tokens of the requests at the endpoint, RequestTokens that of this request.
	// CacheTokens is how many the endpoint has memory for.
	HeldTokens, RequestTokens, CacheTokens int
}

// Estimate is the expected time to the first event of an answer and to the last one. A plain answer has one event.
type Estimate struct {
	First, Last time.Duration
}

const (
	// fetchSetup is the time that it takes to set up a fetch of cached tokens, and fetchSpeed by how much fetching a token is
	// faster than reading it. Another endpoint does the work, so that the slowdown does not apply.
	fetchSetup = 8 * time.Millisecond
	fetchSpeed = 5.0
	// maxUrgentShare leaves the least urgent requests a wait that ends.
	maxUrgentShare = 0.95
	// maxEstimate bounds estimates, so that sums of them do not overflow.
	maxEstimate = float64(time.Hour)
)

// Estimate returns when the first and the last event are expected.
func (w Work) Estimate() (e Estimate) {
	first := float64(w.SlotWait())
	if w.Events <= 0 {
		first += float64(w.PlainTime) * w.slowdown()
		return Estimate{First: bounded(first), Last: bounded(first)}
	}
	step := float64(w.EventTime) * w.slowdown()
	first += float64(w.ReadingDelay()) + float64(w.ReadingTime()) + float64(w.FetchTime()) + step
	return Estimate{First: bounded(first), Last: bounded(first + (max(w.Events, 1)-1)*step)}
}

// SlotWait returns how long the request waits for a slot. Slots are released evenly over the time for which requests hold them.
func (w Work) SlotWait() time.Duration {
	if w.Slots <= 0 {
		return 0
	}
	ahead := expectedExcess(w.Running+w.Waiting+1-float64(w.Slots), w.LoadError)
	return bounded(ahead * float64(w.HoldTime) / (float64(w.Slots) * (1 - min(max(w.UrgentShare, 0), maxUrgentShare))))
}

// expectedExcess returns the mean of the positive part of a normally distributed number: an endpoint that is expected to have its
// last slot free has it taken half of the time.
func expectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 {
		return max(mean, 0)
	}
	z := mean / deviation
	return mean*(1+math.Erf(z/math.Sqrt2))/2 + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// ReadingDelay returns how long the endpoint reads other prompts first.
func (w Work) ReadingDelay() time.Duration { return w.reading(w.UnreadTokens) }

// ReadingTime returns how long the endpoint reads this prompt. The streams that it runs pause for that time.
func (w Work) ReadingTime() time.Duration {
	return w.reading(w.MissingTokens - w.FetchedTokens)
}

// FetchTime returns how long it takes to fetch cached parts of the prompt.
func (w Work) FetchTime() time.Duration {
	if w.FetchedTokens <= 0 {
		return 0
	}
	return bounded(float64(fetchSetup) + w.atEase(w.FetchedTokens)/fetchSpeed)
}

func (w Work) reading(tokens int) time.Duration { return bounded(w.atEase(tokens) * w.slowdown()) }

func (w Work) atEase(tokens int) float64 {
	if tokens <= 0 || w.TokensPerMs <= 0 {
		return 0
	}
	return float64(tokens) / w.TokensPerMs * float64(time.Millisecond)
}

func (w Work) slowdown() float64 {
	if w.Slowdown <= 0 {
		return 1
	}
	return w.Slowdown
}

// HasMemory reports whether the endpoint can hold the request beside those that it has. A request that is too large for any
// endpoint is left to an empty one, which refuses it with the true reason.
func (w Work) HasMemory() bool {
	return w.CacheTokens <= 0 || w.HeldTokens <= 0 || w.HeldTokens+w.RequestTokens <= w.CacheTokens
}

// Within reports whether the first event is expected within the target and the last one within the time left. A limit of 0 is
// unknown and does not apply.
func (e Estimate) Within(target, timeLeft time.Duration) bool {
	return (target <= 0 || e.First <= target) && (timeLeft <= 0 || e.Last <= timeLeft)
}

func bounded(d float64) time.Duration {
	if math.IsNaN(d) {
		return time.Duration(maxEstimate)
	}
	return time.Duration(min(max(d, 0), maxEstimate))
}
