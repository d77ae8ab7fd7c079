package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// partitionKinds are the ways in which a router can be cut off from all endpoints.
var partitionKinds = []string{"reset", "silent", "oneWay", "refuse"}

// TestSoakWithPartitions runs seeds in which routers are also cut off from all endpoints. A proxy on loopback cannot drop
// or refuse the connections of one router only, so the router is built with a file that does. It takes the same
// variables as TestSoak.
func TestSoakWithPartitions(t *testing.T) {
	path, changed := variant{
		file: "io/connect/connector.go", text: "conn, err = c.Dial(ctx, address)", replacement: "conn, err = cut.dial(ctx, c.Dial, address)",
	}.write(t)
	added, err := filepath.Abs(filepath.Join("testdata", "partition.go.txt"))
	assert.NilError(t, err)
	overlay := writeOverlay(t, map[string]string{path: changed, filepath.Join(filepath.Dir(path), "partition.go"): added})
	binary := buildRouter(t, "-overlay", overlay)
	first := intFromEnv("SOAK_FIRST", 1)
	for seed := first; seed < first+intFromEnv("SOAK_SEEDS", 1); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			h := runSeedWith(t, binary, uint64(seed), true)
			assert.Equal(t, len(h.foundViolations()), 0, "%s", h.report())
		})
	}
}

func (h *harness) setPartition(r *router, kind string) {
	assert.Check(h.t, os.WriteFile(r.partitionFile, []byte(kind), 0o600))
}

// partitionFromEndpoints cuts the router off from all endpoints for the duration, and may let it come and go.
func (h *harness) partitionFromEndpoints(r *router, duration time.Duration, random *rand.Rand) {
	kind := partitionKinds[random.IntN(len(partitionKinds))]
	h.fault("endpoints "+kind, r.name, duration, false)
	step := duration
	if random.IntN(3) == 0 {
		step = 300 * time.Millisecond
	}
	for on, end := true, time.Now().Add(duration); time.Now().Before(end); on = !on {
		h.setPartition(r, map[bool]string{true: kind}[on])
		<-time.After(min(step, time.Until(end)))
	}
	h.setPartition(r, "")
}

const (
	// partitionedTries is how many first tries are sent to a cut-off router, and partitionedFailures how many of them may fail
	// by the users' rule.
	partitionedTries    = 100
	partitionedFailures = 10 + partitionedTries/50
)

// servePartitioned cuts a router off while nothing else happens, and verifies that it serves from the time on at which the
// platform demands it, and by itself afterwards.
func (h *harness) servePartitioned() {
	<-time.After(settleTime)
	r := h.routers[h.random.IntN(len(h.routers))]
	kind := partitionKinds[h.random.IntN(len(partitionKinds))]
	h.fault("endpoints "+kind, r.name, 2*settleTime, false)
	h.setPartition(r, kind)
	<-time.After(settleTime)
	failed := 0
	var last string
	for range partitionedTries {
		q := h.send(r, nil, []string{"read", "book", "draft"}[h.random.IntN(3)])
		if !q.Complete || q.Status != 200 {
			failed++
			last = fmt.Sprintf("status %d, %v", q.Status, q.Err)
		}
	}
	h.setPartition(r, "")
	if failed > partitionedFailures {
		h.addViolation("%s, cut off from all endpoints (%s), did not serve %d of %d first tries, the last with %s", r.name, kind, failed, partitionedTries, last)
	}
	<-time.After(settleTime)
}
