package quarantine_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/quarantine"
)

// fleet is a model of routers that share what they know of parts through a hub, before engines of which some crash.
type fleet struct {
	random  *rand.Rand
	now     float64
	routers []*quarantine.Table
	hub     *quarantine.Table
	engines []*engine
	starts  int
	// crashing are the parts that crash engines; byChance makes engines end without a cause.
	crashing []uint64
	byChance bool
	crashes  []float64
	arrivals map[uint64][]float64
	results  []result
	// refused is the number of sound requests that were refused for their parts or for themselves.
	refused int
	// refusedFor are these requests by what they were refused for.
	refusedFor map[quarantine.Key]int
	// repeats is how often clients send sound requests again that have failed.
	repeats int
	// culprits are requests that crash each engine that runs them, each of which its client sends again and again.
	culprits []*culprit
	// later are the requests that are sent later.
	later []*job
	// sentUp and sentDown are the versions up to which the hub and each router have what the other knows.
	sentUp, sentDown []int64
}

type engine struct {
	process  quarantine.Process
	upAt     float64
	running  []*job
	crashAt  float64
	nextFail float64
}

// job is a request at an engine.
type job struct {
	s        quarantine.Subject
	router   int
	sent     float64
	asked    float64
	attempts int
	bad      bool
	settled  bool
	// culprit is set for the request of one.
	culprit *culprit
	// trial is set while the request is a trial.
	trial bool
	// admitted is set if a router is about to send the request.
	admitted bool
	// again is how often the client will send the request again if it fails, at the earliest at againAt.
	again   int
	againAt float64
	// comeback is the time after which the client was told to send the request again.
	comeback float64
}

type result struct {
	at     float64
	served bool
}

// Times of the model, in seconds.
const (
	modelStep   = 0.005
	firstEvent  = 0.06
	settledTime = 0.03
	streamTime  = 0.4
	absence     = 3.0
	// exchangePeriod is how often routers and hub exchange what they know.
	exchangePeriod = 0.15
	// againPause is the time after which a client sends a request again.
	againPause = 0.1
	// longestComeback is the longest time that a client waits if it is told to.
	longestComeback = 1.0
)

func newModel(routers, engines, crashing int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, uint64(routers+crashing))), hub: &quarantine.Table{}, arrivals: map[uint64][]float64{}, refusedFor: map[quarantine.Key]int{}}
	for i := range routers {
		f.routers = append(f.routers, newRouter(i, routers))
		f.sentUp, f.sentDown = append(f.sentUp, 0), append(f.sentDown, 0)
	}
	for range engines {
		e := &engine{}
		f.start(e)
		f.engines = append(f.engines, e)
	}
	for i := range crashing {
		f.crashing = append(f.crashing, bad+uint64(i))
	}
	return f
}

func (f *fleet) start(e *engine) {
	f.starts++
	*e = engine{process: process(f.starts), nextFail: f.now + 2 + 6*f.random.Float64()}
}

// play plays the load for some seconds.
func (f *fleet) play(seconds, soundPerSecond, badPerSecond float64) {
	for end := f.now + seconds; f.now < end; f.now += modelStep {
		for range f.poisson(soundPerSecond) {
			f.send(&job{s: f.soundRequest(), asked: f.now, again: f.repeats})
		}
		f.sendAgain()
		for _, part := range f.crashing {
			for range f.poisson(badPerSecond) {
				s := f.soundRequest()
				s.Prompt[f.random.IntN(2)].ID = part
				f.send(&job{s: s, asked: f.now, bad: true})
			}
		}
		f.advance()
		if int(f.now/exchangePeriod) != int((f.now+modelStep)/exchangePeriod) {
			f.exchange()
		}
	}
}

// restart replaces a router by one that knows nothing yet.
func (f *fleet) restart(i int) {
	f.routers[i], f.sentUp[i], f.sentDown[i] = newRouter(i, len(f.routers)), 0, 0
}

// poisson returns how many requests arrive in a step.
func (f *fleet) poisson(perSecond float64) (n int) {
	for u := f.random.ExpFloat64(); u < perSecond*modelStep; u += f.random.ExpFloat64() {
		n++
	}
	return n
}

// soundRequest has a part that all share, one of many documents, and one of its own.
func (f *fleet) soundRequest() quarantine.Subject {
	s := of(fmt.Sprint("account", f.random.IntN(10)), base, 1000+f.random.Uint64N(200))
	s.Request = f.random.Uint64()
	return s
}

// send begins a request at any router, or sends it to another engine.
func (f *fleet) send(j *job) {
	if j.attempts == 0 && !j.admitted {
		j.router = f.random.IntN(len(f.routers))
		d := f.routers[j.router].Decide(j.s, at(f.now))
		j.trial = d.Trial
		if d.Refused {
			if !j.bad {
				f.refused++
				f.refusedFor[d.Cause.Key]++
			}
			j.comeback = math.Ceil(max(d.Cause.TrialIn, 500*time.Millisecond).Seconds()*1000) / 1000
			f.finish(j, false)
			return
		}
		if d.Wait > 0 {
			j.admitted, j.againAt = true, f.now+d.Wait.Seconds()
			f.later = append(f.later, j)
			return
		}
	}
	e := f.place()
	if e == nil {
		f.finish(j, false)
		return
	}
	j.attempts++
	j.sent, j.settled = f.now, false
	e.running = append(e.running, j)
	if j.culprit != nil {
		j.culprit.arrivals = append(j.culprit.arrivals, f.now)
		if at := f.now + j.culprit.crashAfter; e.crashAt == 0 || at < e.crashAt {
			e.crashAt = at
		}
		return
	}
	if j.bad {
		f.arrivals[f.partOf(j)] = append(f.arrivals[f.partOf(j)], f.now)
		if e.crashAt == 0 {
			e.crashAt = f.now + firstEvent
		}
	}
}

func (f *fleet) partOf(j *job) uint64 {
	for _, p := range j.s.Prompt {
		for _, c := range f.crashing {
			if p.ID == c {
				return c
			}
		}
	}
	return 0
}

// place returns a running engine, nil if it finds none.
func (f *fleet) place() *engine {
	for range 5 {
		if e := f.engines[f.random.IntN(len(f.engines))]; f.now >= e.upAt {
			return e
		}
	}
	return nil
}

// endTrial ends the trial that the request is, if any.
func (f *fleet) endTrial(j *job, conclusive bool) {
	if j.trial {
		j.trial = false
		f.routers[j.router].EndTrial(j.s, conclusive, at(f.now))
	}
}

func (f *fleet) finish(j *job, served bool) {
	f.endTrial(j, served)
	j.admitted = false
	if j.culprit != nil {
		j.culprit.nextAt = f.now + j.culprit.pause
		return
	}
	if !served && j.again > 0 && j.comeback <= longestComeback {
		j.again--
		j.attempts, j.againAt, j.comeback = 0, f.now+max(againPause, j.comeback), 0
		f.later = append(f.later, j)
		return
	}
	if !j.bad {
		f.results = append(f.results, result{at: j.asked, served: served})
	}
}

func (f *fleet) advance() {
	for _, e := range f.engines {
		if f.now < e.upAt {
			continue
		}
		if e.process == (quarantine.Process{}) {
			f.start(e)
		}
		if e.crashAt > 0 && f.now >= e.crashAt || f.byChance && f.now >= e.nextFail {
			f.crash(e)
			continue
		}
		kept := e.running[:0]
		for _, j := range e.running {
			if !j.settled && f.now >= j.sent+firstEvent+settledTime {
				j.settled = true
				f.routers[j.router].Answered(j.s, at(j.sent+firstEvent), at(f.now))
			}
			if f.now >= j.sent+streamTime && j.culprit == nil {
				f.routers[j.router].Completed(j.s, at(j.sent), at(f.now))
				f.finish(j, true)
				continue
			}
			kept = append(kept, j)
		}
		e.running = kept
	}
}

// crash ends the engine's process and sends what it had to other engines.
func (f *fleet) crash(e *engine) {
	f.crashes = append(f.crashes, f.now)
	jobs, ended := e.running, e.process
	for _, j := range jobs {
		if j.culprit != nil {
			j.culprit.ends = append(j.culprit.ends, f.now)
		}
	}
	*e = engine{upAt: f.now + absence}
	for _, j := range jobs {
		atCrash := !j.settled
		f.routers[j.router].Crashed(j.s, quarantine.Crash{Process: ended, Sent: at(j.sent), At: at(f.now), Answered: j.settled}, at(f.now))
		f.endTrial(j, true)
		if j.attempts >= 2 || !f.routers[j.router].MayRetry(j.s, atCrash) {
			f.finish(j, false)
			continue
		}
		f.send(j)
	}
}

// exchange passes on what routers know, through the hub.
func (f *fleet) exchange() {
	now := at(f.now)
	var records []quarantine.Record
	for i, r := range f.routers {
		records, f.sentUp[i] = r.Since(f.sentUp[i], now)
		f.hub.Merge(records, now)
	}
	for i, r := range f.routers {
		records, f.sentDown[i] = f.hub.Since(f.sentDown[i], now)
		r.Merge(records, now)
	}
}

func (f *fleet) servedShare(from, to float64) float64 {
	n, served := 0, 0
	for _, r := range f.results {
		if r.at < from || r.at >= to {
			continue
		}
		n++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(n, 1))
}

// late returns how many requests with the part were sent later than 3 s after the fifth crash under it. Each crashes its engine.
func (f *fleet) late(part uint64) (n int) {
	arrivals := f.arrivals[part]
	for i, sent := range arrivals {
		if i > 4 && sent > arrivals[4]+firstEvent+3 {
			n++
		}
	}
	return n
}

// Guards against engines that crash one after the other, or sound requests that are refused, in fleets of all sizes.
func TestModelOfFleets(t *testing.T) {
	for _, routers := range []int{3, 6, 300} {
		for _, parts := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("%d routers, %d parts", routers, parts), func(t *testing.T) {
				t.Parallel()
				engines := 9
				if routers > 100 {
					engines = 30
				}
				f := newModel(routers, engines, parts)
				f.byChance = parts == 0
				f.play(2, 10*float64(engines), 0)
				f.crashes = nil
				f.play(20, 10*float64(engines), 2.5)
				if routers > 3 {
					f.restart(1)
					f.restart(2)
				}
				f.play(4, 10*float64(engines), 2.5)
				t.Logf("%d crashes; served %.3f in the first 3 s, %.3f in the next, %.3f from then on; %d sound ones refused", len(f.crashes),
					f.servedShare(2, 5), f.servedShare(5, 8), f.servedShare(8, 25), f.refused)
				for _, part := range f.crashing {
					t.Logf("part %x: %d arrivals, %d late", part, len(f.arrivals[part]), f.late(part))
					assert.Check(t, f.late(part) <= 3)
				}
				if f.byChance {
					quarantined, _ := f.hub.Counts()
					assert.Check(t, quarantined.Quarantined == 0 && f.refused == 0, "%d parts quarantined, %d requests refused by chance", quarantined.Quarantined, f.refused)
				}
				assert.Check(t, f.servedShare(8, 25) >= 0.5)
			})
		}
	}
}
