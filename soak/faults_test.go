package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// fault is a fault that was injected; target is a router's name, or empty if it affects all routers.
type fault struct {
	kind, target string
	from, to     time.Time
	// planned marks planned maintenance, which clients must not notice; only the router's own readiness may change.
	planned bool
}

// fault records an injected fault that begins now.
func (h *harness) fault(kind, target string, duration time.Duration, planned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.faults = append(h.faults, fault{kind: kind, target: target, from: now, to: now.Add(duration), planned: planned})
}

// lostMemory returns whether the router's process was replaced or suspended at any time between from and to.
func (h *harness) lostMemory(r *router, from, to time.Time) bool {
	return h.affected(r, from, to, stopFault, "killed", "paused", "exited unexpectedly")
}

// affected returns whether a fault of one of the kinds was aimed at the router at any time between from and to.
func (h *harness) affected(r *router, from, to time.Time, kinds ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.faults, func(f fault) bool {
		return slices.Contains(kinds, f.kind) && f.target == r.name && f.to.After(from) && f.from.Before(to)
	})
}

// disturbed returns whether an unplanned fault affected the router between from and to, or within settleTime before
// from.
func (h *harness) disturbed(r *router, from, to time.Time) bool {
	return h.disturbedBy(r, from, to, func(fault) bool { return true })
}

// disturbedBy is disturbed with only the faults that count.
func (h *harness) disturbedBy(r *router, from, to time.Time, counts func(f fault) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.faults {
		if !f.planned && counts(f) && (f.target == "" || f.target == r.name) && f.to.Add(settleTime).After(from) && f.from.Before(to) {
			return true
		}
	}
	return false
}

// stopping returns whether a planned stop of the router was in progress at any time between from and to.
func (h *harness) stopping(r *router, from, to time.Time) bool {
	return h.affected(r, from, to, stopFault)
}

// stopFault is the kind of a planned stop, whose duration is stopGrace.
const stopFault = "told to stop"

// endpointPartition is the first kind of fault that stands for a partition from all endpoints.
const endpointPartition = 17

const (
	faultPhase = 4 * time.Second
	// maxFaultDuration limits a single fault. It exceeds keyTerm, so that a fault can outlast the use of a withdrawn
	// key.
	maxFaultDuration = keyTerm + 1500*time.Millisecond
)

// injectFaults starts faults at random moments, so that they occur in series and overlap.
func (h *harness) injectFaults() {
	var running sync.WaitGroup
	isolated := make(chan struct{})
	running.Go(func() {
		defer close(isolated)
		h.isolateRouter()
	})
	running.Go(h.resetEndpoints)
	running.Go(h.answerWithoutEnd)
	running.Go(func() { h.loseAllRouters(isolated) })
	for end := time.Now().Add(faultPhase); time.Now().Before(end); {
		kinds := endpointPartition
		if h.partitions {
			// Each third fault is a partition, so that several overlap.
			kinds = endpointPartition * 3 / 2
		}
		kind, r := h.random.IntN(kinds), h.routers[h.random.IntN(len(h.routers))]
		duration := 100*time.Millisecond + time.Duration(h.random.Int64N(int64(maxFaultDuration)))
		faultRandom := rand.New(rand.NewPCG(h.random.Uint64(), 0))
		running.Go(func() { h.injectFault(kind, r, duration, faultRandom) })
		<-time.After(time.Duration(50+h.random.IntN(500)) * time.Millisecond)
	}
	running.Wait()
	h.restoreStore(time.Duration(h.random.IntN(1500)) * time.Millisecond)
}

// restoreStore makes the store unavailable and then brings it back from an older copy. What the operator and the
// endpoints wrote since is written again.
func (h *harness) restoreStore(duration time.Duration) {
	h.injectStoreFault("store restored", duration, func(on bool) { h.store.SetDown(on) })
	h.store.Restore(map[string]int{"keyed.op": 2, "keyed.servers": 10, "keyed.routers": 1})
	h.mu.Lock()
	h.store.Put("keyed.op", "config", h.configuration)
	endpoints := slices.Clone(h.endpoints)
	h.mu.Unlock()
	for _, e := range endpoints {
		h.rewriteEntry(e)
	}
}

// resetEndpoints is part of every fault phase: it resets the connections of all endpoints several times in a row.
func (h *harness) resetEndpoints() {
	for range 6 {
		h.fault("endpoints reset", "", 0, false)
		for _, e := range append(h.liveEndpoints(modelService), h.liveEndpoints(plainService)...) {
			e.link.reset()
		}
		<-time.After(latencySlack)
	}
}

func (h *harness) injectFault(kind int, r *router, duration time.Duration, random *rand.Rand) {
	switch kind {
	case 0:
		h.fault("killed", r.name, 0, false)
		r.kill()
		h.start(r)
	case 1:
		h.pauseRouter(r, duration)
	case 2:
		h.fault(stopFault, r.name, stopGrace, true)
		r.signal(syscall.SIGTERM)
		h.start(r)
	case 3:
		h.fault("settings reloaded", r.name, 0, true)
		r.signal(syscall.SIGHUP)
	case 4:
		h.injectLinkFault(r.store, "store link", r.name, duration, random)
	case 5:
		h.injectLinkFault(r.peers, "peer link", "", duration, random)
	case 6, 7:
		e := h.randomEndpoint(random)
		h.injectLinkFault(e.link, "endpoint link", "", duration, random)
	case 8:
		h.replaceEndpoint(random)
	case 9:
		h.injectStoreFault("store down", duration, func(on bool) { h.store.SetDown(on) })
	case 10:
		h.injectStoreFault("store silent", duration, func(on bool) { h.store.SetUnresponsive(on) })
	case 11:
		h.injectStoreFault("store slow", duration, func(on bool) { h.store.SetDelay(map[bool]time.Duration{true: 200 * time.Millisecond}[on]) })
	case 12:
		h.fault("store expired records", "", 0, false)
		h.store.Compact("keyed.servers")
		h.store.Compact("keyed.op")
		h.store.LoseResponses(1)
	case 13:
		h.writeConfiguration([]time.Duration{shortIdleLimit, longIdleLimit}[random.IntN(2)])
	case 14:
		h.fault("endpoint paused", "", 2*endpointPause, false)
		h.pauseEndpoint(h.randomEndpoint(random))
	case 15:
		if e := h.randomEndpoint(random); len(h.liveEndpoints(e.options.Service)) > 1 {
			h.fault("endpoint drained unreported", "", duration, false)
			h.drainUnreported(e, duration)
		}
	case 16:
		h.restoreStore(duration)
	default:
		h.partitionFromEndpoints(r, duration, random)
	}
}

func (h *harness) pauseRouter(r *router, duration time.Duration) {
	h.fault("paused", r.name, duration, false)
	r.signal(syscall.SIGSTOP)
	<-time.After(duration)
	r.signal(syscall.SIGCONT)
}

func (h *harness) injectStoreFault(kind string, duration time.Duration, set func(on bool)) {
	h.fault(kind, "", duration, false)
	set(true)
	<-time.After(duration)
	set(false)
}

// injectLinkFault applies one of five faults to a link and heals it after the duration.
func (h *harness) injectLinkFault(l *link, kind, target string, duration time.Duration, random *rand.Rand) {
	effect := random.IntN(5)
	h.fault(fmt.Sprint(kind, " ", []string{"to target blocked", "from target blocked", "blocked", "slow", "reset"}[effect]), target, duration, false)
	switch effect {
	case 0:
		l.block(toTarget)
	case 1:
		l.block(fromTarget)
	case 2:
		l.block(toTarget)
		l.block(fromTarget)
	case 3:
		l.setDelay(30 * time.Millisecond)
	case 4:
		l.reset()
	}
	<-time.After(duration)
	l.heal()
}

func (h *harness) randomEndpoint(random *rand.Rand) *endpoint {
	list := append(h.liveEndpoints(modelService), h.liveEndpoints(plainService)...)
	return list[random.IntN(len(list))]
}

// replaceEndpoint crashes an endpoint and starts another at the same address, with a new ID for the same or the other
// service, or with its ID. An engine may run another software version.
func (h *harness) replaceEndpoint(random *rand.Rand) {
	e := h.randomEndpoint(random)
	if len(h.liveEndpoints(e.options.Service)) < 2 {
		return
	}
	h.fault("endpoint crashed", "", 500*time.Millisecond, false)
	h.crashEndpoint(e)
	<-time.After(500 * time.Millisecond)
	o := h.endpointOptions([]string{modelService, plainService}[random.IntN(2)])
	if o.Service == e.options.Service && random.IntN(2) == 0 {
		o.ID = e.options.ID
		e.mu.Lock()
		e.restarted = true
		e.mu.Unlock()
	}
	h.startEndpoint(o, e.link)
}

// recover ends all faults and waits until all routers serve.
func (h *harness) recover() {
	for _, r := range h.routers {
		r.signal(syscall.SIGCONT)
		r.store.heal()
		r.peers.heal()
	}
	for _, service := range []string{modelService, plainService} {
		for len(h.liveEndpoints(service)) < 3 {
			h.startEndpoint(h.endpointOptions(service), nil)
		}
	}
	for _, r := range h.routers {
		if !h.waitUntilServing(r, recoveryTimeout) {
			h.addViolation("%s does not serve %v after the faults ended", r.name, recoveryTimeout)
		}
	}
}

// makePlannedChanges performs planned maintenance for the checks that apply without faults: all plain endpoints ask for a
// pause, one endpoint of each service leaves, one of them without a report to the store at first, two configurations are written,
// of which the second lowers the limit for connections that became idle under the first, one router is told to stop, and
// one reloads its settings.
func (h *harness) makePlannedChanges() {
	<-time.After(settleTime)
	// With no other endpoint to choose, a router that ignored the pauses would go on sending.
	var paused sync.WaitGroup
	for _, e := range h.liveEndpoints(plainService) {
		paused.Go(func() { h.pauseEndpoint(e) })
	}
	paused.Wait()
	// The last pauses end, with what routers add to them.
	<-time.After(2 * endpointPause)
	var planned sync.WaitGroup
	planned.Go(func() { h.drainUnreported(h.lastUsedEndpoint(modelService), 2*drainDelay) })
	planned.Go(func() { h.drainEndpoint(h.lastUsedEndpoint(plainService)) })
	h.writeConfiguration(longIdleLimit)
	lowerAfter := configurationDelay + time.Second + time.Duration(h.random.IntN(1000))*time.Millisecond
	planned.Go(func() {
		<-time.After(lowerAfter)
		h.writeConfiguration(shortIdleLimit)
	})
	r := h.routers[h.random.IntN(len(h.routers))]
	planned.Go(func() { h.injectFault(2, r, 0, nil) })
	<-time.After(time.Duration(h.random.IntN(500)) * time.Millisecond)
	h.injectFault(3, h.routers[h.random.IntN(len(h.routers))], 0, nil)
	planned.Wait()
	<-time.After(configurationDelay)
}
