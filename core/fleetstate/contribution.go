package fleetstate

import (
	"math"
	"time"
)

// Bounds of what one router may report. An entry beyond them is ignored, so that one bad report cannot outweigh the others.
const (
	maxEndpoints  = 1 << 13
	maxAccounts   = 1 << 11
	maxRetries    = 1 << 12
	maxLatencies  = 1 << 10
	maxRank       = 63
	maxRequests   = 1 << 20
	maxHeldTokens = 1 << 30
	maxFactor     = 1000
	// maxAhead is the last slot of PromisedRetries, 16 s ahead.
	maxAhead = 63
	// maxDecayed bounds the decayed counts, and maxTotalMs the decayed sum of times.
	maxDecayed = 1 << 20
	maxTotalMs = 1 << 31
)

// fixedPoint is the number of units that a decayed count of 1 is kept as. Sums of integers do not depend on the order in which
// reports are added and removed.
const fixedPoint = 1000

type accountKey struct {
	service uint32
	rank    int
	account uint32
}

type accountSum struct {
	arrivals int64
	accounts int
}

type retryKey struct {
	service uint32
	rank    int
	// slot is the number of the slot since the aggregator's start.
	slot int64
}

type latencySum struct {
	answers, totalMs, refusals int64
}

// contribution is what the report of a router, or of a hub for all its routers, adds to the sums.
type contribution struct {
	receivedAt time.Time
	routers    int
	heldTokens map[uint32]int
	accounts   map[accountKey]accountSum
	retries    map[retryKey]int
	latencies  map[uint32]latencySum
}

// newContribution returns what the valid entries of a report that arrives in the given slot add to the sums.
func newContribution(r *Report, routers int, now time.Time, slot int64) (c *contribution) {
	c = &contribution{
		receivedAt: now, routers: routers, heldTokens: map[uint32]int{}, accounts: map[accountKey]accountSum{},
		retries: map[retryKey]int{}, latencies: map[uint32]latencySum{},
	}
	for _, e := range r.Endpoints[:min(len(r.Endpoints), maxEndpoints)] {
		if e.HeldTokens > 0 && e.HeldTokens <= maxHeldTokens {
			c.heldTokens[e.Endpoint] = e.HeldTokens
		}
	}
	for _, d := range r.Accounts[:min(len(r.Accounts), maxAccounts)] {
		if d.valid() {
			key := accountKey{service: d.Service, rank: d.Rank, account: d.Account}
			c.accounts[key] = c.accounts[key].plus(d.sum())
		}
	}
	for _, p := range r.Retries[:min(len(r.Retries), maxRetries)] {
		if p.valid() {
			c.retries[retryKey{service: p.Service, rank: p.Rank, slot: slot + int64(p.Ahead)}] += p.Count
		}
	}
	for _, l := range r.Latencies[:min(len(r.Latencies), maxLatencies)] {
		if l.valid() {
			c.latencies[l.Service] = c.latencies[l.Service].plus(l.sum())
		}
	}
	return c
}

// valid reports whether the state of the endpoint in an answer is possible.
func (e *EndpointState) valid() bool {
	return within(e.Running, maxRequests) && within(e.Waiting, maxRequests) && within(e.Slots, maxRequests) && e.Age >= 0 && e.Age <= StateTerm &&
		validAmount(e.Slowdown, maxFactor) && validAmount(e.Lasting, maxFactor)
}

// answered reports whether the entry holds the state of an answer, and not only held tokens.
func (e *EndpointState) answered() bool {
	return e.Slots > 0 || e.Running > 0 || e.Waiting > 0 || e.Slowdown > 0
}

func (d *AccountDemand) valid() bool {
	return within(d.Rank, maxRank) && d.Accounts >= 1 && d.Accounts <= maxRequests && (d.Account == 0 || d.Accounts == 1) && validAmount(d.Arrivals, maxDecayed)
}

func (d *AccountDemand) sum() accountSum {
	return accountSum{arrivals: toFixedPoint(d.Arrivals), accounts: d.Accounts}
}

func (p *PromisedRetries) valid() bool {
	return within(p.Rank, maxRank) && within(p.Ahead, maxAhead) && p.Count > 0 && p.Count <= maxRequests
}

func (l *ServiceLatency) valid() bool {
	return validAmount(l.Answers, maxDecayed) && validAmount(l.TotalMs, maxTotalMs) && validAmount(l.Refusals, maxDecayed)
}

func (l *ServiceLatency) sum() latencySum {
	return latencySum{answers: toFixedPoint(l.Answers), totalMs: toFixedPoint(l.TotalMs), refusals: toFixedPoint(l.Refusals)}
}

func within(n, most int) bool { return n >= 0 && n <= most }

// validAmount reports whether v is a number from 0 to the maximum. It is not for NaN.
func validAmount(v, most float32) bool { return v >= 0 && v <= most }

func toFixedPoint(v float32) int64 { return int64(math.Round(float64(v) * fixedPoint)) }

func fromFixedPoint(n int64) float32 { return float32(float64(n) / fixedPoint) }

func (s accountSum) plus(other accountSum) accountSum {
	return accountSum{arrivals: s.arrivals + other.arrivals, accounts: s.accounts + other.accounts}
}

// minus subtracts a part, which may be newer than the whole, so no difference goes below zero.
func (s accountSum) minus(part accountSum) accountSum {
	return accountSum{arrivals: max(s.arrivals-part.arrivals, 0), accounts: max(s.accounts-part.accounts, 0)}
}

func (s latencySum) plus(other latencySum) latencySum {
	return latencySum{answers: s.answers + other.answers, totalMs: s.totalMs + other.totalMs, refusals: s.refusals + other.refusals}
}

// minus subtracts a part, which may be newer than the whole, so no difference goes below zero.
func (s latencySum) minus(part latencySum) latencySum {
	return latencySum{
		answers: max(s.answers-part.answers, 0), totalMs: max(s.totalMs-part.totalMs, 0), refusals: max(s.refusals-part.refusals, 0),
	}
}

// subtract removes from the contribution what a part of it adds. An account of the part that the whole does not name is in
// its entry for the others.
func (c *contribution) subtract(part *contribution) {
	c.routers = max(c.routers-part.routers, 0)
	for endpoint, tokens := range part.heldTokens {
		c.heldTokens[endpoint] = max(c.heldTokens[endpoint]-tokens, 0)
	}
	for key, sum := range part.accounts {
		if _, named := c.accounts[key]; !named {
			key.account = 0
		}
		if whole, ok := c.accounts[key]; ok {
			c.accounts[key] = whole.minus(sum)
		}
	}
	for key, count := range part.retries {
		c.retries[key] = max(c.retries[key]-count, 0)
	}
	for service, sum := range part.latencies {
		c.latencies[service] = c.latencies[service].minus(sum)
	}
}
