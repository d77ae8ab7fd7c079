package hub

import (
	"errors"
	"math"
	"time"

	"savoryfall/core/fleetstate"
)

// StateColumns is the wire format of a fleetstate.Report. Columns of small integers take a byte or two for each figure. Services
// are listed once and referred to by their index.
type StateColumns struct {
	Endpoints EndpointColumns
	Services  []uint32
	Accounts  AccountColumns
	Retries   RetryColumns
	Latencies LatencyColumns
}

// EndpointColumns is the wire format of a list of endpoint states, in units in which usual figures take one byte.
type EndpointColumns struct {
	Endpoints []uint32
	Running   []uint32
	Waiting   []uint32
	Slots     []uint32
	Ages      []uint32
	Slowdowns []uint32
	Lasting   []uint32
	Held      []uint32
}

// AccountColumns is the wire format of a list of account demands.
type AccountColumns struct {
	Services []uint32
	Ranks    []byte
	Accounts []uint32
	Counts   []uint32
	Arrivals []uint32
}

// RetryColumns is the wire format of a list of promised retries.
type RetryColumns struct {
	Services []uint32
	Ranks    []byte
	Ahead    []byte
	Counts   []uint32
}

// LatencyColumns is the wire format of a list of service latencies.
type LatencyColumns struct {
	Services []uint32
	Answers  []uint32
	TotalMs  []uint32
	Refusals []uint32
}

const (
	// maxStateRows limits the number of rows of each table in one message.
	maxStateRows = 1 << 14

	ageUnit = 4 * time.Millisecond
	// slowdownUnits, lastingUnits and countUnits are the units in 1 of slowdowns, lasting factors and decayed counts.
	slowdownUnits = 20
	lastingUnits  = 64
	countUnits    = 16
)

var errStateColumns = errors.New("the state is not a table")

func toStateColumns(r *fleetstate.Report) (c StateColumns) {
	index := map[uint32]uint32{}
	service := func(hash uint32) uint32 {
		i, ok := index[hash]
		if !ok {
			i = uint32(len(c.Services))
			index[hash] = i
			c.Services = append(c.Services, hash)
		}
		return i
	}
	e, a, p, l := &c.Endpoints, &c.Accounts, &c.Retries, &c.Latencies
	for _, s := range r.Endpoints {
		e.Endpoints = append(e.Endpoints, s.Endpoint)
		e.Running = append(e.Running, clampCount(s.Running))
		e.Waiting = append(e.Waiting, clampCount(s.Waiting))
		e.Slots = append(e.Slots, clampCount(s.Slots))
		e.Ages = append(e.Ages, clampCount(int(s.Age/ageUnit)))
		e.Slowdowns = append(e.Slowdowns, inUnits(s.Slowdown, slowdownUnits))
		e.Lasting = append(e.Lasting, inUnits(s.Lasting, lastingUnits))
		e.Held = append(e.Held, clampCount(s.HeldTokens))
	}
	for _, d := range r.Accounts {
		a.Services = append(a.Services, service(d.Service))
		a.Ranks = append(a.Ranks, clampByte(d.Rank))
		a.Accounts = append(a.Accounts, d.Account)
		a.Counts = append(a.Counts, clampCount(d.Accounts))
		a.Arrivals = append(a.Arrivals, inUnits(d.Arrivals, countUnits))
	}
	for _, d := range r.Retries {
		p.Services = append(p.Services, service(d.Service))
		p.Ranks = append(p.Ranks, clampByte(d.Rank))
		p.Ahead = append(p.Ahead, clampByte(d.Ahead))
		p.Counts = append(p.Counts, clampCount(d.Count))
	}
	for _, d := range r.Latencies {
		l.Services = append(l.Services, service(d.Service))
		l.Answers = append(l.Answers, inUnits(d.Answers, countUnits))
		l.TotalMs = append(l.TotalMs, inUnits(d.TotalMs, 1))
		l.Refusals = append(l.Refusals, inUnits(d.Refusals, countUnits))
	}
	return c
}

// report returns the rows of the columns. Their values are checked by fleetstate.Aggregator.
func (c *StateColumns) report() (r fleetstate.Report, err error) {
	if !c.wellFormed() {
		return r, errStateColumns
	}
	r.Endpoints = make([]fleetstate.EndpointState, len(c.Endpoints.Endpoints))
	for i := range r.Endpoints {
		e := &c.Endpoints
		r.Endpoints[i] = fleetstate.EndpointState{
			Endpoint: e.Endpoints[i], Running: int(e.Running[i]), Waiting: int(e.Waiting[i]), Slots: int(e.Slots[i]),
			Age: time.Duration(e.Ages[i]) * ageUnit, Slowdown: fromUnits(e.Slowdowns[i], slowdownUnits), Lasting: fromUnits(e.Lasting[i], lastingUnits),
			HeldTokens: int(e.Held[i]),
		}
	}
	r.Accounts = make([]fleetstate.AccountDemand, len(c.Accounts.Services))
	for i := range r.Accounts {
		a := &c.Accounts
		r.Accounts[i] = fleetstate.AccountDemand{
			Service: c.Services[a.Services[i]], Rank: int(a.Ranks[i]), Account: a.Accounts[i], Accounts: int(a.Counts[i]), Arrivals: fromUnits(a.Arrivals[i], countUnits),
		}
	}
	r.Retries = make([]fleetstate.PromisedRetries, len(c.Retries.Services))
	for i := range r.Retries {
		p := &c.Retries
		r.Retries[i] = fleetstate.PromisedRetries{Service: c.Services[p.Services[i]], Rank: int(p.Ranks[i]), Ahead: int(p.Ahead[i]), Count: int(p.Counts[i])}
	}
	r.Latencies = make([]fleetstate.ServiceLatency, len(c.Latencies.Services))
	for i := range r.Latencies {
		l := &c.Latencies
		r.Latencies[i] = fleetstate.ServiceLatency{
			Service: c.Services[l.Services[i]], Answers: fromUnits(l.Answers[i], countUnits), TotalMs: fromUnits(l.TotalMs[i], 1), Refusals: fromUnits(l.Refusals[i], countUnits),
		}
	}
	return r, nil
}

// wellFormed reports whether the columns of each table have the same length, and whether the services that they refer to are
// listed.
func (c *StateColumns) wellFormed() bool {
	e, a, p, l := &c.Endpoints, &c.Accounts, &c.Retries, &c.Latencies
	return sameLength(len(e.Endpoints), len(e.Running), len(e.Waiting), len(e.Slots), len(e.Ages), len(e.Slowdowns), len(e.Lasting), len(e.Held)) &&
		sameLength(len(a.Services), len(a.Ranks), len(a.Accounts), len(a.Counts), len(a.Arrivals)) &&
		sameLength(len(p.Services), len(p.Ranks), len(p.Ahead), len(p.Counts)) &&
		sameLength(len(l.Services), len(l.Answers), len(l.TotalMs), len(l.Refusals)) &&
		c.lists(a.Services) && c.lists(p.Services) && c.lists(l.Services)
}

func sameLength(n int, others ...int) bool {
	for _, m := range others {
		if m != n {
			return false
		}
	}
	return n <= maxStateRows
}

// lists reports whether all indices are of listed services.
func (c *StateColumns) lists(indices []uint32) bool {
	for _, i := range indices {
		if uint64(i) >= uint64(len(c.Services)) {
			return false
		}
	}
	return true
}

func clampCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func clampByte(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

// inUnits returns v in the given units a whole, 0 if v is not a number or negative.
func inUnits(v float32, units float64) uint32 {
	n := math.Round(float64(v) * units)
	if !(n > 0) {
		return 0
	}
	return uint32(min(n, math.MaxInt32))
}

func fromUnits(n uint32, units float64) float32 { return float32(float64(n) / units) }
