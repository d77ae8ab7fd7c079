package soak_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"savoryfall/platform/standin/fakeendpoint"
)

const (
	// backlogSize is how many configurations are written while a router is cut off, several answers of the store's.
	backlogSize = 10
	// peersHealLater is how much later than the store other routers can be reached again.
	peersHealLater = 300 * time.Millisecond
	// endlessShare is the share of the answers of a faulty endpoint that do not end, and endlessTime for how long.
	endlessShare = 3
	endlessTime  = time.Second
)

// isolateRouter is part of every fault phase: it keeps a router from learning of configurations in quick succession, each of which
// withdraws a key, from the store or from another router, until keyTerm has passed. Another router is killed as the isolation
// ends. Then all these keys are tried while the router reads what it has missed.
func (h *harness) isolateRouter() {
	r := h.routers[len(h.routers)-1]
	h.fault("isolated", "", maxFaultDuration+peersHealLater, false)
	var peers []*link
	for _, other := range h.routers {
		peers = append(peers, other.peers)
	}
	for _, l := range append(peers, r.store) {
		l.block(toTarget)
		l.block(fromTarget)
	}
	<-time.After(latencySlack)
	var withdrawn []string
	for range backlogSize {
		withdrawn = append(withdrawn, h.newestKey())
		h.writeConfiguration(shortIdleLimit)
	}
	<-time.After(maxFaultDuration - 2*latencySlack)
	for range 5 {
		h.sendWithKey(r, nil, "read", withdrawn[0])
	}
	var running sync.WaitGroup
	running.Go(func() {
		other := h.routers[0]
		h.fault("killed", other.name, 0, false)
		other.kill()
		h.start(other)
	})
	r.store.heal()
	for end := time.Now().Add(peersHealLater); time.Now().Before(end); {
		for _, key := range withdrawn {
			h.sendWithKey(r, nil, "read", key)
		}
	}
	for _, l := range peers {
		l.heal()
	}
	running.Wait()
}

// answerWithoutEnd is part of every fault phase: answers of an engine and of an endpoint of the plain service do not end.
func (h *harness) answerWithoutEnd() {
	kinds := []string{"line", "lines", "no answer", "chunks", "length", "to close", "event", "interim", "trailer", "extension", "refusal"}
	random := rand.New(rand.NewPCG(h.seed, 97))
	for range 2 {
		h.fault("answers without end", "", endlessTime, false)
		var faulty []*endpoint
		for _, service := range []string{modelService, plainService} {
			live := h.liveEndpoints(service)
			if len(live) < 2 {
				continue
			}
			e := live[random.IntN(len(live))]
			e.AnswerWithoutEnd(fakeendpoint.EndlessAnswers[kinds[random.IntN(len(kinds))]], endlessShare)
			faulty = append(faulty, e)
		}
		<-time.After(endlessTime)
		for _, e := range faulty {
			e.AnswerWithoutEnd(fakeendpoint.EndlessAnswer{}, 0)
		}
	}
}
