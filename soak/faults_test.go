package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// trouble is one fault, and where it was: a router's name, or empty for all.
type trouble struct {
	what, where string
	from, to    time.Time
	// planned is work that excuses nothing but the router's own readiness.
	planned bool
}

func (w *world) trouble(what, where string, last time.Duration, planned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.troubles = append(w.troubles, trouble{what: what, where: where, from: now, to: now.Add(last), planned: planned})
}

// disturbed tells whether an unplanned fault reached the router between contact before from, and to.
func (w *world) disturbed(r *router, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.troubles {
		if !t.planned && (t.where == "" || t.where == r.name) && t.to.Add(contact).After(from) && t.from.Before(to) {
			return true
		}
	}
	return false
}

// stopping tells whether the router had been told to stop, or was, between from and to.
func (w *world) stopping(r *router, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.troubles {
		if t.what == toldToStop && t.where == r.name && t.to.After(from) && t.from.Before(to) {
			return true
		}
	}
	return false
}

// toldToStop is the trouble of a planned stop, which lasts for the grace.
const toldToStop = "told to stop"

const (
	stormLength = 4 * time.Second
	// longest is that of one fault; longer than keys may be used after their withdrawal.
	longest = keyTerm + 1500*time.Millisecond
)

// storm lets faults begin at any moment, so that they come in series and overlap.
func (w *world) storm() {
	var under sync.WaitGroup
	under.Go(w.cutOff)
	under.Go(w.resets)
	for end := time.Now().Add(stormLength); time.Now().Before(end); {
		kind, r := w.random.IntN(14), w.routers[w.random.IntN(len(w.routers))]
		last := 100*time.Millisecond + time.Duration(w.random.Int64N(int64(longest)))
		dice := rand.New(rand.NewPCG(w.random.Uint64(), 0))
		under.Go(func() { w.strike(kind, r, last, dice) })
		<-time.After(time.Duration(50+w.random.IntN(500)) * time.Millisecond)
	}
	under.Wait()
}

// cutOff is in every storm: a router hears nothing of a key's withdrawal until after its term, neither from the store nor
// from another router.
func (w *world) cutOff() {
	r := w.routers[len(w.routers)-1]
	w.trouble("cut off", "", longest, false)
	links := []*link{r.store}
	for _, other := range w.routers {
		links = append(links, other.peers)
	}
	for _, l := range links {
		l.hold(there)
		l.hold(back)
	}
	<-time.After(slack)
	w.mu.Lock()
	old := w.key
	w.mu.Unlock()
	w.configure(shortIdle)
	<-time.After(longest - 2*slack)
	for range 5 {
		w.askWith(r, nil, "read", old)
	}
	for _, l := range links {
		l.heal()
	}
}

// resets are in every storm: servers break off what they are at, some times in a row.
func (w *world) resets() {
	for range 6 {
		w.trouble("servers reset", "", 0, false)
		for _, b := range append(w.alive(models), w.alive(plain)...) {
			b.link.reset()
		}
		<-time.After(slack)
	}
}

func (w *world) strike(kind int, r *router, last time.Duration, dice *rand.Rand) {
	switch kind {
	case 0:
		w.trouble("killed", r.name, 0, false)
		r.kill()
		w.start(r)
	case 1:
		w.pause(r, last)
	case 2:
		w.trouble(toldToStop, r.name, grace, true)
		r.signal(syscall.SIGTERM)
		w.start(r)
	case 3:
		w.trouble("settings changed", r.name, 0, true)
		r.signal(syscall.SIGHUP)
	case 4:
		w.harm(r.store, "store cut", r.name, last, dice)
	case 5:
		w.harm(r.peers, "peers cut", "", last, dice)
	case 6, 7:
		b := w.anyServer(dice)
		w.harm(b.link, "server cut", "", last, dice)
	case 8:
		w.restartServer(dice)
	case 9:
		w.during("store down", last, func(on bool) { w.store.SetDown(on) })
	case 10:
		w.during("store silent", last, func(on bool) { w.store.SetSilent(on) })
	case 11:
		w.during("store slow", last, func(on bool) { w.store.SetSlow(map[bool]time.Duration{true: 200 * time.Millisecond}[on]) })
	case 12:
		w.trouble("store forgets", "", 0, false)
		w.store.Forget("keyed.servers")
		w.store.Forget("keyed.op")
		w.store.Lose(1)
	case 13:
		w.configure([]time.Duration{shortIdle, longIdle}[dice.IntN(2)])
	}
}

func (w *world) pause(r *router, last time.Duration) {
	w.trouble("paused", r.name, last, false)
	r.signal(syscall.SIGSTOP)
	<-time.After(last)
	r.signal(syscall.SIGCONT)
}

func (w *world) during(what string, last time.Duration, set func(on bool)) {
	w.trouble(what, "", last, false)
	set(true)
	<-time.After(last)
	set(false)
}

// harm does one of five things to a link until it heals.
func (w *world) harm(l *link, what, where string, last time.Duration, dice *rand.Rand) {
	how := dice.IntN(5)
	w.trouble(fmt.Sprint(what, " ", []string{"there", "back", "both", "slow", "reset"}[how]), where, last, false)
	switch how {
	case 0:
		l.hold(there)
	case 1:
		l.hold(back)
	case 2:
		l.hold(there)
		l.hold(back)
	case 3:
		l.slow(30 * time.Millisecond)
	case 4:
		l.reset()
	}
	<-time.After(last)
	l.heal()
}

func (w *world) anyServer(dice *rand.Rand) *backend {
	list := append(w.alive(models), w.alive(plain)...)
	return list[dice.IntN(len(list))]
}

// restartServer crashes a server. Another starts at its address, under the same id or as a server of the other service.
func (w *world) restartServer(dice *rand.Rand) {
	b := w.anyServer(dice)
	if len(w.alive(b.options.Service)) < 2 {
		return
	}
	w.trouble("server crashed", "", 500*time.Millisecond, false)
	w.crash(b)
	<-time.After(500 * time.Millisecond)
	o := w.optionsOf([]string{models, plain}[dice.IntN(2)])
	w.serve(o, b.link)
}

// recover heals everything and waits until all routers serve.
func (w *world) recover() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.store.heal()
		r.peers.heal()
	}
	for _, service := range []string{models, plain} {
		for len(w.alive(service)) < 3 {
			w.serve(w.optionsOf(service), nil)
		}
	}
	for _, r := range w.routers {
		if !w.serves(r, recovery) {
			w.fault("%s does not serve %v after the faults", r.name, recovery)
		}
	}
}

// calm is for the promises that hold while nothing is disturbed, around planned work: a server leaves, configurations
// come, of which the second lowers the limit for connections that became idle by the first, a router is told to stop.
func (w *world) calm() {
	<-time.After(contact)
	var planned sync.WaitGroup
	planned.Go(func() { w.leave(w.alive(models)[0]) })
	planned.Go(func() { w.leave(w.alive(plain)[0]) })
	w.configure(longIdle)
	lower := applied + time.Second + time.Duration(w.random.IntN(1000))*time.Millisecond
	planned.Go(func() {
		<-time.After(lower)
		w.configure(shortIdle)
	})
	r := w.routers[w.random.IntN(len(w.routers))]
	planned.Go(func() { w.strike(2, r, 0, nil) })
	<-time.After(time.Duration(w.random.IntN(500)) * time.Millisecond)
	w.strike(3, w.routers[w.random.IntN(len(w.routers))], 0, nil)
	planned.Wait()
	<-time.After(applied)
}
