package dispatch

import (
	"math"
	"time"

	"savoryfall/core/fairness"
	"savoryfall/core/fleetload"
)

const (
	// demandHalfLife is the half-life of arrivals in the rate: a surge is noticed within about half a second, in which
	// the less urgent requests fill the capacity.
	demandHalfLife = 500 * time.Millisecond
	// fullRefusalRate is the share of refusals from which a rank counts as full, clearedRefusalRate the share below
	// which it no longer does. A caller that retries at a rank between the two is more likely admitted than not.
	fullRefusalRate    = 0.25
	clearedRefusalRate = 0.1
	// fullTimeout is how long after the last refusal a rank stops being full, whatever the share of refusals was
	// before.
	fullTimeout = time.Second
	// minHoldTime is the least time for which a request counts as holding capacity.
	minHoldTime = time.Millisecond
)

// demand is the recent demand for a service, by rank. The zero value is empty.
type demand struct {
	levels    [maxRanks]level
	decayedAt time.Time
	// othersAt is when the demand of the other routers was last reported.
	othersAt time.Time
	// holdTime is how many seconds a request holds capacity, averaged over all ranks.
	holdTime decayingMean
	// routers is the number of routers where overload control is active, 0 elsewhere. steadyHold then takes the place of holdTime.
	routers    int
	steadyHold steadyMean
	// skewedSince is since when this router has got many more requests than each of the others, zero if it does not.
	skewedSince time.Time
}

// maxRanks bounds the ranks that are distinguished: some priorities of routes times some of accounts.
const maxRanks = 32

// level is the demand of one rank.
type level struct {
	// arrivals counts the requests, decayed with time. running are those that hold capacity, holdTime for how many
	// seconds they do.
	arrivals float64
	running  int
	holdTime decayingMean
	// others is the demand of the other routers.
	others fleetload.Demand
	// refused counts the refused requests, decayed like arrivals. fullSince is when they became many, refusedAt when
	// the last one was refused.
	refused   float64
	fullSince time.Time
	refusedAt time.Time
	shares    fairness.Shares
	// Where overload control is active, free is the capacity for retries in requests a second, returning the part of the requests whose
	// clients had tried before, fraction the part that could be admitted, and steadyHold takes the place of holdTime.
	free, returning, fraction, steadyHold steadyMean
}

func (d *Dispatcher) demand(service string) *demand {
	if d.demands == nil {
		d.demands = map[string]*demand{}
	}
	m := d.demands[service]
	if m == nil {
		m = &demand{}
		d.demands[service] = m
	}
	return m
}

// level returns the demand of a rank; the least urgent ranks share one.
func (m *demand) level(rank int) *level { return &m.levels[min(max(rank, 0), maxRanks-1)] }

func (m *demand) decayTo(now time.Time) {
	f := math.Exp2(-float64(now.Sub(m.decayedAt)) / float64(demandHalfLife))
	for i := range m.levels {
		m.levels[i].arrivals *= f
		m.levels[i].others.Came *= float32(f)
		m.levels[i].refused *= f
	}
	m.decayedAt = now
}

func (m *demand) recordArrival(rank int, now time.Time) {
	m.decayTo(now)
	l := m.level(rank)
	l.arrivals++
	l.updateFull(now)
}

func (m *demand) recordRefusal(rank int, now time.Time) {
	m.decayTo(now)
	m.level(rank).refused++
	m.level(rank).refusedAt = now
	m.level(rank).updateFull(now)
}

// updateFull records when refusals become frequent, and when that is over.
func (l *level) updateFull(now time.Time) {
	switch {
	case l.refused < clearedRefusalRate*l.arrivals || now.Sub(l.refusedAt) > fullTimeout:
		l.fullSince = time.Time{}
	case l.refused > fullRefusalRate*l.arrivals && l.fullSince.IsZero():
		l.fullSince = now
	}
}

// fullFor returns for how long many requests of the rank have been refused.
func (m *demand) fullFor(rank int, now time.Time) time.Duration {
	l := m.level(rank)
	if l.fullSince.IsZero() || now.Sub(l.refusedAt) > fullTimeout {
		return 0
	}
	return now.Sub(l.fullSince)
}

func (m *demand) began(rank int) { m.level(rank).running++ }

func (m *demand) ended(rank int, v Verdict, holdTime time.Duration, now time.Time) {
	l := m.level(rank)
	l.running--
	if v == Refused || v == Unreachable || v == Withdrawn {
		return
	}
	s := max(holdTime, minHoldTime).Seconds()
	l.holdTime.add(s, now)
	m.holdTime.add(s, now)
	l.steadyHold.addDecaying(s, holdDecay(now.Sub(l.steadyHold.at)), now)
	m.steadyHold.addDecaying(s, holdDecay(now.Sub(m.steadyHold.at)), now)
}

// holdHalfLife is the half-life of hold times in steadyHold: shorter than reports are late, so that it adds no delay of its own.
const holdHalfLife = 100 * time.Millisecond

// holdDecay returns by how much older hold times count less than one that comes after some time: a few values decide where they are rare, and
// those of the last few hundred milliseconds where they are many.
func holdDecay(elapsed time.Duration) float64 {
	return max(math.Exp2(-float64(elapsed)/float64(holdHalfLife)), 1-smoothingFactor)
}

// report returns this router's demand for the other routers, without ranks that have next to none.
func (m *demand) report(service uint32, now time.Time) (list []fleetload.Demand) {
	m.decayTo(now)
	for rank, l := range m.levels {
		if l.running > 0 || l.arrivals >= minReportedWeight {
			list = append(list, fleetload.Demand{Service: service, Rank: rank, Came: float32(l.arrivals), Running: l.running})
		}
	}
	return list
}

// setOthers sets the demand of the other routers: that of all routers, less what this one reported.
func (m *demand) setOthers(service uint32, total, own []fleetload.Demand, now time.Time) {
	m.decayTo(now)
	m.othersAt = now
	for i := range m.levels {
		m.levels[i].others = fleetload.Demand{}
	}
	for _, d := range total {
		if d.Service == service {
			m.level(d.Rank).others = d
		}
	}
	for _, d := range own {
		if d.Service == service {
			o := &m.level(d.Rank).others
			o.Came, o.Running = max(o.Came-d.Came, 0), max(o.Running-d.Running, 0)
		}
	}
}

// forecast is what is expected of the capacity of a service within the planning horizon.
type forecast struct {
	// released is the capacity that becomes free, moreUrgent the number of more urgent requests, sameRank that of the
	// same rank.
	released, moreUrgent, sameRank float64
	// horizon is the planning horizon in seconds.
	horizon float64
}

// forecast plans for all routers together: what one of many sees is mostly chance, and extrapolated to the whole fleet
// it once kept a third of the capacity unused. A router without recent reports plans for its own requests; where overload control
// is active, it takes the others to have as many each, so that it does not claim what they use.
func (m *demand) forecast(rank int, now time.Time) (f forecast) {
	m.decayTo(now)
	ownOnly := now.Sub(m.othersAt) > othersMaxAge
	meanHold := m.holdTime.lastOr(planningHorizon.Seconds())
	if m.routers > 0 {
		meanHold = m.steadyHold.lastOr(meanHold)
	}
	horizon := min(meanHold, planningHorizon.Seconds())
	f.horizon = horizon
	for i := range m.levels {
		perSecond, running := m.levels[i].totals(ownOnly)
		holdTime := m.levels[i].holdTime.lastOr(meanHold)
		if m.routers > 0 {
			holdTime = m.levels[i].steadyHold.lastOr(meanHold)
		}
		f.released += running * horizon / max(holdTime, horizon)
		switch {
		case i < min(rank, maxRanks-1):
			f.moreUrgent += perSecond * horizon
		case i == min(rank, maxRanks-1):
			f.sameRank = perSecond * horizon
		}
	}
	if ownOnly && m.routers > 1 {
		others := float64(m.routers)
		f.released, f.moreUrgent, f.sameRank = f.released*others, f.moreUrgent*others, f.sameRank*others
	}
	return f
}

// totals returns the requests a second and those that hold capacity, of this router and, unless ownOnly is set, of the
// others.
func (l *level) totals(ownOnly bool) (perSecond, running float64) {
	arrivals := l.arrivals
	running = float64(l.running)
	if !ownOnly {
		arrivals += float64(l.others.Came)
		running += float64(l.others.Running)
	}
	return arrivalRate(arrivals), running
}

// arrivalRate returns the requests a second that lead to a decayed count.
func arrivalRate(arrivals float64) float64 { return arrivals * math.Ln2 / demandHalfLife.Seconds() }

// othersShare returns the share of the requests that other routers get, which this one learns of late.
func (m *demand) othersShare(now time.Time) float64 {
	if now.Sub(m.othersAt) > othersMaxAge {
		return 0
	}
	m.decayTo(now)
	var all, others float64
	for i := range m.levels {
		others += float64(m.levels[i].others.Came)
		all += m.levels[i].arrivals + float64(m.levels[i].others.Came)
	}
	return others / max(all, 1)
}
