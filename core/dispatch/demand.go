package dispatch

import (
	"math"
	"time"

	"savoryfall/core/board"
	"savoryfall/core/fairness"
)

const (
	// demandHalf is the time in which a request that came loses half its weight in the rate: a surge is known within
	// about half a second, in which the less urgent fill the places.
	demandHalf = 500 * time.Millisecond
	// manyRefused is the share of refusals from which on a rank counts as full, fewRefused the one below which it no
	// longer does. A caller that comes back to a rank between the two is more likely let in than not.
	manyRefused = 0.25
	fewRefused  = 0.1
	// overAfter is after how long without a refusal a rank is no longer full, however many there were before.
	overAfter = time.Second
	// shortestHold is the least time for which a place counts as held.
	shortestHold = time.Millisecond
)

// demand is what was asked of a service lately, by rank. The zero value has seen nothing.
type demand struct {
	levels [mostRanks]level
	at     time.Time
	// heardAt is when the others' part was told.
	heardAt time.Time
	// held is for how many seconds a request holds its place, whatever its rank.
	held average
}

// mostRanks bounds the ranks that are told apart: some priorities of routes times some of accounts.
const mostRanks = 32

// level is one rank's.
type level struct {
	// came counts the requests, faded with time; running are those that hold a place, held for how many seconds they do.
	came    float64
	running int
	held    average
	// others is what the other routers have of both.
	others board.Demand
	// refused counts those that were turned away, faded like came; fullSince is when they became many, refusedAt when
	// the last one was turned away.
	refused   float64
	fullSince time.Time
	refusedAt time.Time
	shares    fairness.Shares
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

// level is that of a rank; the least urgent share one.
func (m *demand) level(rank int) *level { return &m.levels[min(max(rank, 0), mostRanks-1)] }

func (m *demand) fade(now time.Time) {
	f := math.Exp2(-float64(now.Sub(m.at)) / float64(demandHalf))
	for i := range m.levels {
		m.levels[i].came *= f
		m.levels[i].others.Came *= float32(f)
		m.levels[i].refused *= f
	}
	m.at = now
}

func (m *demand) saw(rank int, account string, now time.Time) {
	m.fade(now)
	l := m.level(rank)
	l.came++
	l.shares.Saw(account, now)
	l.judge(now)
}

func (m *demand) turnedAway(rank int, now time.Time) {
	m.fade(now)
	m.level(rank).refused++
	m.level(rank).refusedAt = now
	m.level(rank).judge(now)
}

// judge notes when it begins that many are turned away, and when it is over.
func (l *level) judge(now time.Time) {
	switch {
	case l.refused < fewRefused*l.came || now.Sub(l.refusedAt) > overAfter:
		l.fullSince = time.Time{}
	case l.refused > manyRefused*l.came && l.fullSince.IsZero():
		l.fullSince = now
	}
}

// fullFor is for how long many requests of the rank have been turned away.
func (m *demand) fullFor(rank int, now time.Time) time.Duration {
	l := m.level(rank)
	if l.fullSince.IsZero() || now.Sub(l.refusedAt) > overAfter {
		return 0
	}
	return now.Sub(l.fullSince)
}

func (m *demand) began(rank int) { m.level(rank).running++ }

func (m *demand) ended(rank int, v Verdict, held time.Duration, now time.Time) {
	l := m.level(rank)
	l.running--
	if v == Refused || v == Unreachable {
		return
	}
	s := max(held, shortestHold).Seconds()
	l.held.add(s, now)
	m.held.add(s, now)
}

// told is this router's part for the other routers, but the ranks of which there is nothing.
func (m *demand) told(service uint32, now time.Time) (list []board.Demand) {
	m.fade(now)
	for rank, l := range m.levels {
		if l.running > 0 || l.came >= idle {
			list = append(list, board.Demand{Service: service, Rank: rank, Came: float32(l.came), Running: l.running})
		}
	}
	return list
}

// hear takes the part of the others: that of all routers, less this one's when it told.
func (m *demand) hear(service uint32, total, own []board.Demand, now time.Time) {
	m.fade(now)
	m.heardAt = now
	for i := range m.levels {
		m.levels[i].others = board.Demand{}
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

// plan is what will happen to the places of a service in the time that is planned.
type plan struct {
	// released are places that become free, ahead requests that are more urgent, coming those of the rank itself.
	released, ahead, coming float64
}

// plan reckons for all routers together: what one of many sees is mostly chance, and made up to the whole it once kept a
// third of the places free for nobody. A router that is alone plans for its own.
func (m *demand) plan(rank int, now time.Time) (p plan) {
	m.fade(now)
	alone := now.Sub(m.heardAt) > othersAge
	usual := m.held.last(foresight.Seconds())
	planned := min(usual, foresight.Seconds())
	for i := range m.levels {
		perSecond, running := m.levels[i].all(alone)
		held := max(m.levels[i].held.last(usual), planned)
		p.released += running * planned / held
		switch {
		case i < min(rank, mostRanks-1):
			p.ahead += perSecond * planned
		case i == min(rank, mostRanks-1):
			p.coming = perSecond * planned
		}
	}
	return p
}

// all are the requests a second and those that hold a place, of this router and the others unless it is alone.
func (l *level) all(alone bool) (perSecond, running float64) {
	came := l.came
	running = float64(l.running)
	if !alone {
		came += float64(l.others.Came)
		running += float64(l.others.Running)
	}
	return came * math.Ln2 / demandHalf.Seconds(), running
}

// unseen is the part of the requests that other routers get, of which this one hears late.
func (m *demand) unseen(now time.Time) float64 {
	if now.Sub(m.heardAt) > othersAge {
		return 0
	}
	m.fade(now)
	var all, others float64
	for i := range m.levels {
		others += float64(m.levels[i].others.Came)
		all += m.levels[i].came + float64(m.levels[i].others.Came)
	}
	return others / max(all, 1)
}
