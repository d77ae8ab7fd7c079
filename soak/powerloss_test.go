package soak_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/testclient"
)

// Guards against a configuration that was acknowledged and is not in force after all routers have lost power right after it.
func TestConfigurationOutlivesPowerLossOfAllRouters(t *testing.T) {
	h := newHarness(t, buildRouter(t), 2, false)
	defer h.shutDown()
	defer close(h.done)
	h.recover()
	for range 5 {
		old := h.newestKey()
		h.writeConfiguration(longIdleLimit)
		h.killRouters(h.routers, 0)
		var clients sync.WaitGroup
		for _, r := range h.routers {
			clients.Go(func() { h.checkKeys(r, old, 3*time.Second) })
		}
		clients.Wait()
		h.recover()
	}
	assert.Equal(t, len(h.foundViolations()), 0, "%s", h.report())
}

// checkKeys sends requests with the key before and with the newest one, which a router may refuse only for want of a configuration.
func (h *harness) checkKeys(r *router, old string, d time.Duration) {
	for began := time.Now(); time.Since(began) < d; {
		if a := h.sendWithKey(r, nil, "read", old); a.Status == http.StatusOK {
			h.addViolation("%s served the key before after the power was lost", r.name)
		}
		if a := h.send(r, nil, "read"); a.Status == http.StatusUnauthorized {
			h.addViolation("%s refused the newest key after the power was lost", r.name)
		}
	}
}

// Routers that all lose power forget which requests end endpoints: they learn it again, at the price of as many ends.
func TestRepeatedRequestAfterPowerLossOfAllRouters(t *testing.T) {
	// The request of this seed is on a plain service.
	h := newHarness(t, buildRouter(t), 1, false)
	defer h.shutDown()
	defer close(h.done)
	h.recover()
	for round := 1; round <= 2; round++ {
		ends := h.repeatAtAll(6 * time.Second)
		t.Logf("round %d: %d ends", round, ends)
		assert.Assert(t, ends >= 3 && ends <= 8, "%d ends", ends)
		h.killRouters(h.routers, 0)
		h.recover()
	}
}

// repeatAtAll sends the request of this seed to the routers in turn, and returns how many endpoints it ends.
func (h *harness) repeatAtAll(d time.Duration) (ends int) {
	count := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.crashes)
	}
	before := count()
	for n, began := 0, time.Now(); time.Since(began) < d; n++ {
		m := h.repeated().request
		m.Host, m.Key, m.ID = host, h.newestKey(), h.newID()
		_ = testclient.Send(h.routers[n%len(h.routers)].clientAddress, m)
		<-time.After(50 * time.Millisecond)
	}
	return count() - before
}
