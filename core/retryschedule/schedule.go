package retryschedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"savoryfall/core/fleetstate"
)

const (
	slotTime = fleetstate.RetrySlot
	// slots is how many slots ahead promises are kept: 8 s.
	slots = 32
	// maxRanks bounds the ranks that are distinguished; the less urgent ones share one.
	maxRanks = 32
)

// Schedule holds how many clients were told by all routers to retry, by time. The zero value is empty; it is not safe for concurrent use.
type Schedule struct {
	classes map[class]*promises
	// reportedAt is when this router last reported its promises.
	reportedAt time.Time
	// routers is how many routers make promises, fleetUntil until when the reports of the others count.
	routers    int
	fleetUntil time.Time
	promised   uint64
}

type class struct {
	service uint32
	rank    int
}

func newClass(service uint32, rank int) class { return class{service, min(max(rank, 0), maxRanks-1)} }

// promises are the promised retries of a service and rank, by slot of this router's clock modulo slots.
type promises struct {
	// first is the first slot that has not passed.
	first int64
	// own are this router's promises, since those of them that it made since its last report, before those that it made between the
	// last two, and others are the promises of the other routers as last reported.
	own, since, before, others [slots]float64
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }

func index(slot int64) int { return int(slot % slots) }

// advance drops the slots that have passed.
func (p *promises) advance(now time.Time) {
	slot := slotOf(now)
	for n := min(slot-p.first, slots); n > 0; n-- {
		i := index(slot - n)
		p.own[i], p.since[i], p.before[i], p.others[i] = 0, 0, 0, 0
	}
	p.first = slot
}

func (p *promises) empty() bool {
	return p.own == [slots]float64{} && p.others == [slots]float64{}
}

func (s *Schedule) promises(c class, now time.Time) *promises {
	p := s.classes[c]
	if p == nil {
		if s.classes == nil {
			s.classes = map[class]*promises{}
		}
		p = &promises{first: slotOf(now)}
		s.classes[c] = p
	}
	p.advance(now)
	return p
}

// at returns how many promises there are in the slot by all that is known. Each of the other routers is taken to have promised as much as
// this one in the time that their reports do not cover: all of it if there are none, else the time since this router's last report and
// on average half of the interval before.
func (s *Schedule) at(p *promises, slot int64, now time.Time) float64 {
	if slot < p.first || slot >= p.first+slots {
		return 0
	}
	i := index(slot)
	others := float64(max(s.routers-1, 0))
	if !now.Before(s.fleetUntil) {
		return p.own[i] * (1 + others)
	}
	return p.own[i] + p.others[i] + others*(p.since[i]+p.before[i]/2)
}

// Promise returns after how long to retry: within the first slot after least in which what becomes free exceeds what is promised, at
// the point that draw, a uniform random number in [0, 1), gives. If there is none before most it returns most and promises nothing.
func (s *Schedule) Promise(service uint32, rank int, least, most time.Duration, freePerSecond, draw float64, now time.Time) time.Duration {
	p := s.promises(newClass(service, rank), now)
	free := freePerSecond * slotTime.Seconds()
	// The square root is the standard deviation of what comes in a slot: with the mean alone, every second slot would be too full.
	free -= math.Sqrt(max(free, 0))
	start := now.Add(max(least, 0))
	for slot := slotOf(start); slot < p.first+slots; slot++ {
		begin := time.Unix(0, slot*int64(slotTime))
		end := begin.Add(slotTime)
		if begin.Before(start) {
			begin = start
		}
		if latest := now.Add(most); latest.Before(end) {
			end = latest
		}
		if !begin.Before(end) {
			break
		}
		if s.at(p, slot, now) >= free {
			continue
		}
		p.own[index(slot)]++
		p.since[index(slot)]++
		s.promised++
		return begin.Add(time.Duration(draw * float64(end.Sub(begin)))).Sub(now)
	}
	return max(most, 0)
}

// Expected returns how many clients a second are to come back about now.
func (s *Schedule) Expected(service uint32, rank int, now time.Time) (perSecond float64) {
	p := s.classes[newClass(service, rank)]
	if p == nil {
		return 0
	}
	p.advance(now)
	return s.at(p, slotOf(now), now) / slotTime.Seconds()
}

// Promised returns how many promises this router has made.
func (s *Schedule) Promised() uint64 { return s.promised }

// Own returns this router's promises for the other routers. It is called once for each report.
func (s *Schedule) Own(now time.Time) (list []fleetstate.PromisedRetries) {
	s.reportedAt = now
	for c, p := range s.classes {
		p.advance(now)
		p.before, p.since = p.since, [slots]float64{}
		for ahead := range slots {
			if n := p.own[index(p.first+int64(ahead))]; n > 0 {
				list = append(list, fleetstate.PromisedRetries{Service: c.service, Rank: c.rank, Ahead: ahead, Count: int(n)})
			}
		}
		if p.empty() {
			delete(s.classes, c)
		}
	}
	slices.SortFunc(list, func(a, b fleetstate.PromisedRetries) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Ahead, b.Ahead))
	})
	return list
}

// SetRouters sets how many routers make promises, this one included.
func (s *Schedule) SetRouters(n int) { s.routers = n }

// SetFleet sets the promises of all routers, of which own is what this router had reported last. They count until the given time.
func (s *Schedule) SetFleet(total, own []fleetstate.PromisedRetries, until, now time.Time) {
	s.fleetUntil = until
	for _, p := range s.classes {
		p.advance(now)
		p.others = [slots]float64{}
	}
	s.add(total, 1, slotOf(now), now)
	s.add(own, -1, slotOf(s.reportedAt), now)
	for _, p := range s.classes {
		for i := range p.others {
			p.others[i] = max(p.others[i], 0)
		}
	}
}

func (s *Schedule) add(list []fleetstate.PromisedRetries, sign float64, from int64, now time.Time) {
	for _, r := range list {
		p := s.promises(newClass(r.Service, r.Rank), now)
		if slot := from + int64(r.Ahead); slot >= p.first && slot < p.first+slots && r.Count > 0 {
			p.others[index(slot)] += sign * float64(r.Count)
		}
	}
}
