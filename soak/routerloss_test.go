package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// releaseService is the service whose engines get other software versions around losses of all routers. No other fault is aimed
	// at its engines.
	releaseService = "release"
	releaseEngines = 2
	releaseClients = 8
	// maxReleaseTakeUps lets a client outlast the time in which all routers are down.
	maxReleaseTakeUps = 60
	// lossesPerPhase is how often all routers are lost in a fault phase.
	lossesPerPhase = 2
	// maxLead is how long before a loss of all routers a version leaves at most, and maxDown how long the routers stay away.
	maxLead = 2 * time.Second
	maxDown = 800 * time.Millisecond
)

// upTo returns a duration below the limit.
func upTo(limit time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// startEngines starts engines of the service whose versions change.
func (h *harness) startEngines(version string, n int) (list []*endpoint) {
	for range n {
		o := h.endpointOptions(releaseService)
		o.Slots, o.Events, o.EventTime, o.SlowPrefix, o.Version = engineSlots, eventsPerStream, eventInterval, "/"+releaseService, version
		list = append(list, h.startEndpoint(o, nil))
	}
	return list
}

// removeEngines removes the engines, with a crash if their entries are to stay for a while.
func (h *harness) removeEngines(list []*endpoint, crash bool) {
	h.fault("version removed", "", 0, false)
	for _, e := range list {
		if crash {
			h.crashEndpoint(e)
		} else {
			h.removeEndpoint(e)
		}
	}
}

// loseRoutersOnce has a version come and leave around a loss of all routers.
func (h *harness) loseRoutersOnce() {
	<-time.After(upTo(500*time.Millisecond, h.lossRandom))
	h.loseRoutersAround(h.changeVersion(h.lossRandom), h.lossRandom)
}

// loseAllRouters is part of every fault phase: versions come and leave, and after isolated is closed all routers are lost around that.
// Earlier, a loss would hide what an isolated router does once it can be reached again.
func (h *harness) loseAllRouters(isolated <-chan struct{}) {
	for losses := 0; losses < lossesPerPhase; {
		select {
		case <-isolated:
			h.loseRoutersOnce()
			losses++
		default:
			<-time.After(upTo(500*time.Millisecond, h.lossRandom))
			h.removeEngines(h.changeVersion(h.lossRandom), false)
		}
	}
}

// changeVersion has a version come as a canary, as a release, or as a release that is taken back, and returns the engines whose version
// leaves with them.
func (h *harness) changeVersion(random *rand.Rand) (leaving []*endpoint) {
	serve := func() { <-time.After(400*time.Millisecond + upTo(600*time.Millisecond, random)) }
	defer serve()
	serving := h.liveEndpoints(releaseService)
	h.releases++
	version := fmt.Sprint("v", h.releases)
	switch random.IntN(3) {
	case 0:
		return h.startEngines(version, 1)
	case 1:
		h.startEngines(version, releaseEngines)
		return serving
	}
	release := h.startEngines(version, releaseEngines)
	serve()
	h.removeEngines(serving, false)
	serve()
	h.startEngines(serving[0].options.Version, releaseEngines)
	return release
}

// loseRoutersAround removes the engines up to maxLead before all routers are lost, in the same instant, or while they are down.
func (h *harness) loseRoutersAround(leaving []*endpoint, random *rand.Rand) {
	crash, down := random.IntN(4) == 0, upTo(maxDown, random)
	var leaveAfter, loseAfter time.Duration
	switch random.IntN(3) {
	case 0:
		loseAfter = upTo(maxLead, random)
	case 1:
		leaveAfter = upTo(down+1, random)
	}
	inTurn, order := random.IntN(3) == 0, random.Perm(len(h.routers))
	var running sync.WaitGroup
	running.Go(func() {
		<-time.After(leaveAfter)
		h.removeEngines(leaving, crash)
	})
	running.Go(func() {
		<-time.After(loseAfter)
		if !inTurn {
			h.killRouters(h.routers, down)
			return
		}
		for _, i := range order {
			h.killRouters(h.routers[i:i+1], 0)
			h.waitUntilServing(h.routers[i], time.Second)
		}
	})
	running.Wait()
}

// killRouters kills the routers at the same moment, and starts them after the time.
func (h *harness) killRouters(list []*router, down time.Duration) {
	for _, r := range list {
		h.fault("killed", r.name, down, false)
		// A process that is stopping holds startMu until it has exited.
		r.signal(syscall.SIGKILL)
	}
	for _, r := range list {
		r.startMu.Lock()
		r.signal(syscall.SIGKILL)
	}
	for _, r := range list {
		r.kill()
	}
	if len(list) == len(h.routers) {
		h.mu.Lock()
		h.losses = append(h.losses, time.Now())
		h.mu.Unlock()
	}
	<-time.After(down)
	var starting sync.WaitGroup
	for _, r := range list {
		r.startMu.Unlock()
		starting.Go(func() { h.start(r) })
	}
	starting.Wait()
}
