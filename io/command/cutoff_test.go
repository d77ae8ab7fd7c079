package command

import (
	"fmt"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/testclient"
)

// firstTries sends one request of each kind, the given number of times, and returns how many were served.
func (f *entryFleet) firstTries(vm *entryVM, rounds int) (served, sent int) {
	for range rounds {
		id := fmt.Sprint("first", requestCount.Add(1))
		for _, r := range []struct{ method, path string }{{"GET", "/read/x"}, {"POST", "/book/x"}, {"POST", "/draft/x"}} {
			sent++
			response := f.send(vm, r.method, r.path, "good", id+r.path[1:5])
			if response.Status == 200 && response.Complete {
				served++
			}
		}
	}
	return served, sent
}

// contactTime is the time after the beginning of a partition from which on first tries must be served.
const contactTime = 3 * time.Second

// Guards against a router that refuses what the others serve because it is cut off from all endpoints.
func TestRouterWithoutWayToEndpointsServes(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{resetKind, silentKind, refuseKind, oneWayKind} {
		for _, busy := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s busy=%v", kind, busy), func(t *testing.T) {
				t.Parallel()
				f := newEntryFleet(t, 3)
				f.partitions[1].set(kind)
				for began := time.Now(); time.Since(began) < contactTime; {
					if busy {
						f.firstTries(f.vms[1], 1)
					}
					<-time.After(50 * time.Millisecond)
				}
				served, sent := f.firstTries(f.vms[1], 10)
				assert.Equal(t, served, sent)
			})
		}
	}
}

// startDelay is long enough for a router under requests to find out that it is cut off.
const startDelay = time.Second

// disturb sends first tries to the router for the time, whatever their answers are.
func (f *entryFleet) disturb(vm *entryVM, d time.Duration) {
	for began := time.Now(); time.Since(began) < d; {
		f.firstTries(vm, 1)
	}
}

func (f *entryFleet) tunnels() (total uint64) {
	for _, vm := range f.vms {
		total += vm.tunnels.Total()
	}
	return total
}

func (f *entryFleet) addresses(ids ...string) (list []string) {
	for _, id := range ids {
		list = append(list, f.endpoints[id].Address())
	}
	return list
}

// Guards against cut-off routers that ask each other, or overload the last one that has a way.
func TestMostRoutersCutOff(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 5)
	for _, p := range f.partitions[:4] {
		p.set(silentKind)
	}
	for _, vm := range f.vms[:4] {
		f.disturb(vm, startDelay)
	}
	for _, vm := range f.vms {
		served, sent := f.firstTries(vm, 5)
		assert.Equal(t, served, sent)
	}
}

// Guards against requests that are held while no router reaches any endpoint, and against routers that stay unable to serve
// afterwards.
func TestAllRoutersCutOff(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{resetKind, silentKind} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 3)
			for _, p := range f.partitions {
				p.set(kind)
			}
			for began := time.Now(); time.Since(began) < contactTime; {
				for _, vm := range f.vms {
					f.firstTries(vm, 1)
				}
			}
			for _, vm := range f.vms {
				began := time.Now()
				response := f.get(vm, "/read/x", "good")
				assert.Equal(t, response.Status, 503)
				assert.Assert(t, response.RetryAfter != "")
				assert.Assert(t, time.Since(began) < 2*time.Second, "held for %v", time.Since(began))
			}
			for _, p := range f.partitions {
				p.set(healed)
			}
			for _, vm := range f.vms {
				f.waitFor("served again", func() bool {
					served, sent := f.firstTries(vm, 1)
					return served == sent
				})
			}
		})
	}
}

// Guards against a router that loses one service only, or all endpoints of it but one, and is not helped.
func TestPartOfEndpointsCutOff(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][]string{
		"one service": {"p0", "p1", "p2"}, "all but one": {"m0", "m1", "p0", "p1", "p2"}, "a third": {"m0", "p0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 3)
			f.partitions[1].set(resetKind, f.addresses(ids...)...)
			f.disturb(f.vms[1], startDelay)
			before := f.tunnels()
			served, sent := f.firstTries(f.vms[1], 10)
			assert.Equal(t, served, sent)
			if name == "a third" {
				assert.Equal(t, f.tunnels(), uint64(0))
			}
			if name == "one service" {
				// The stream of each round goes to the service that is reached directly.
				assert.Assert(t, f.tunnels()-before <= uint64(20), "%d tunnels", f.tunnels()-before)
			}
		})
	}
}

// Guards against a router that serves through others for longer than a second after the end of its partition.
func TestRouterServesByItselfAfterPartition(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	f.partitions[1].set(silentKind)
	f.disturb(f.vms[1], 2*startDelay)
	assert.Assert(t, f.tunnels() > 0)
	f.partitions[1].set(healed)
	f.disturb(f.vms[1], startDelay)
	before := f.tunnels()
	served, sent := f.firstTries(f.vms[1], 10)
	assert.Equal(t, served, sent)
	assert.Equal(t, f.tunnels(), before)
}

// Guards against a stream that is cut, or has a gap or a repetition, because its router is cut off while it runs.
func TestStreamResumesThroughAnotherRouter(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	for i := range 3 {
		f.endpoints[fmt.Sprint("m", i)].SetEventTime(100 * time.Millisecond)
	}
	const streams = 4 // this router's part of the fleet's retries allows five
	var running sync.WaitGroup
	responses := make([]testclient.Response, streams)
	for i := range responses {
		running.Go(func() { responses[i] = f.send(f.vms[1], "POST", "/draft/x", "good", fmt.Sprint("running", i)) })
	}
	<-time.After(150 * time.Millisecond)
	f.partitions[1].set(resetKind)
	running.Wait()
	for _, r := range responses {
		assert.Assert(t, r.Complete && r.Status == 200, "%+v", r)
		var ids []string
		for _, m := range regexp.MustCompile(`(?m)^id: (\d+)$`).FindAllStringSubmatch(r.Body, -1) {
			ids = append(ids, m[1])
		}
		assert.DeepEqual(t, ids, []string{"1", "2", "3", "4", "5"})
	}
}

// Guards against a request that runs twice, or that is reported as not run and has, around a partition that comes and goes.
func TestNonIdempotentRequestsInPartitions(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{resetKind, silentKind, oneWayKind} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			f := newEntryFleet(t, 3)
			done := make(chan struct{})
			var flapping sync.WaitGroup
			flapping.Go(func() {
				for on := true; ; on = !on {
					f.partitions[1].set(map[bool]partitionKind{true: kind}[on])
					select {
					case <-done:
						return
					case <-time.After(300 * time.Millisecond):
					}
				}
			})
			var clients sync.WaitGroup
			for c := range 8 {
				clients.Go(func() {
					for began, i := time.Now(), 0; time.Since(began) < contactTime; i++ {
						id := fmt.Sprintf("%s-%d-%d", kind, c, i)
						status := f.send(f.vms[1], "POST", "/book/x", "good", id).Status
						runs := int64(0)
						for _, e := range f.endpoints {
							runs += e.ExecutionsOf(id)
						}
						assert.Check(t, runs <= 1, "%s ran %d times", id, runs)
						assert.Check(t, status != 503 || runs == 0, "%s was reported as not run and has", id)
					}
				})
			}
			clients.Wait()
			close(done)
			flapping.Wait()
		})
	}
}

// Guards against requests of a cut-off router that are broken off by the planned stop of the router that connects for it.
func TestStopOfRouterThatConnectsForAnother(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 3)
	for i := range 3 {
		f.endpoints[fmt.Sprint("m", i)].SetEventTime(100 * time.Millisecond)
	}
	f.partitions[1].set(resetKind)
	f.disturb(f.vms[1], startDelay)
	var running sync.WaitGroup
	for i := range 10 {
		running.Go(func() {
			r := f.send(f.vms[1], "POST", "/draft/x", "good", fmt.Sprint("during", i))
			assert.Check(t, r.Complete && r.Status == 200, "%+v", r)
		})
	}
	<-time.After(200 * time.Millisecond)
	running.Go(func() { assert.Check(t, f.vms[2].stop() == nil) })
	running.Wait()
	served, sent := f.firstTries(f.vms[1], 5)
	assert.Equal(t, served, sent)
}
