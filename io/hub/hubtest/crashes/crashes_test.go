package crashes_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
	"savoryfall/core/prompt"
	"savoryfall/core/quarantine"
	"savoryfall/io/hub/hubtest"
	"savoryfall/platform/evacuation"
)

// fleet is a simulated fleet with what these tests do to it.
type fleet struct{ *hubtest.Fleet }

func TestMain(m *testing.M) { hubtest.Main(m) }

func newFleet(t *testing.T, n int) *fleet { return &fleet{hubtest.New(t, n, evacuation.Decoder{})} }

// crashing is a request with a part that crashes endpoints.
func crashing(own uint64) quarantine.Subject {
	return quarantine.Subject{Service: "s", Account: "a", Prompt: prompt.Chain{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 100}, {ID: own, Tokens: 10}}}
}

// repeated is a request without a prompt that crashes endpoints, and beside are those that ran at an endpoint with it.
var repeated = quarantine.Subject{Service: "s", Account: "a", Request: 9}

func beside(i int) quarantine.Subject {
	return quarantine.Subject{Service: "s", Account: "b", Request: uint64(1000 + i)}
}

// crashThree has a router report three crashes.
func crashThree(parts *quarantine.Table) {
	for i := range 3 {
		now := time.Now()
		c := quarantine.Crash{Process: quarantine.Process{Born: int64(i)}, Sent: now.Add(-50 * time.Millisecond), At: now}
		parts.Crashed(crashing(uint64(10+i)), c, now)
		c.Process.Born += 100
		parts.Crashed(repeated, c, now)
		time.Sleep(150 * time.Millisecond)
	}
}

// refusing returns how many routers refuse the request.
func (f *fleet) refusing(s quarantine.Subject) (n int) {
	for _, r := range f.Routers() {
		if r.Parts().Decide(s, time.Now()).Refused {
			n++
		}
	}
	return n
}

// peerBytes returns the bytes that all routers have sent to each other.
func (f *fleet) peerBytes() (sum int) {
	sent := regexp.MustCompile(`savoryfall_control_bytes_total\{kind="peer",direction="sent"\} (\d+)`)
	for _, r := range f.Routers() {
		var b bytes.Buffer
		r.Meter().WritePrometheus(&b)
		if m := sent.FindStringSubmatch(b.String()); m != nil {
			n, _ := strconv.Atoi(m[1])
			sum += n
		}
	}
	return sum
}

// checkKnownToAll has three routers report one crash each, and checks that soon all routers refuse the request.
func checkKnownToAll(t *testing.T, routers int, s quarantine.Subject, pause time.Duration, report func(f *fleet, parts *quarantine.Table, i int, c quarantine.Crash)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, routers)
		defer f.Stop()
		before := f.peerBytes()
		time.Sleep(time.Second)
		usual := f.peerBytes() - before
		before = f.peerBytes()
		for i := range 3 {
			now := time.Now()
			c := quarantine.Crash{Process: quarantine.Process{Born: int64(i)}, Sent: now.Add(-50 * time.Millisecond), At: now}
			report(f, f.Routers()[(routers-1)*i/2].Parts(), i, c)
			time.Sleep(pause)
		}
		began := time.Now()
		for f.refusing(s) < routers {
			assert.Assert(t, time.Since(began) < time.Second, "%d of %d routers refuse", f.refusing(s), routers)
			time.Sleep(10 * time.Millisecond)
		}
		took := pause + time.Since(began)
		time.Sleep(time.Second - 3*pause - time.Since(began))
		extra := f.peerBytes() - before - usual
		t.Logf("known to %d routers after %v; %d bytes more than the usual %d in that second", routers, took, extra, usual)
	})
}

// Guards against routers each of which waits until it has seen enough crashes itself. HUB_ROUTERS sets the size of the large fleet.
func TestCrashesAreKnownToAllRouters(t *testing.T) {
	for _, routers := range []int{6, hubtest.LargeFleet(100)} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			checkKnownToAll(t, routers, crashing(9), 150*time.Millisecond, func(_ *fleet, parts *quarantine.Table, i int, c quarantine.Crash) {
				parts.Crashed(crashing(uint64(10+i)), c, c.At)
			})
		})
	}
}

// Guards against a request that its client sends to one router after the other, each of which knows of a few crashes only.
func TestRepeatedRequestIsKnownToAllRouters(t *testing.T) {
	for _, routers := range []int{6, hubtest.LargeFleet(100)} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			checkKnownToAll(t, routers, repeated, 50*time.Millisecond, func(f *fleet, parts *quarantine.Table, i int, c quarantine.Crash) {
				parts.Crashed(repeated, c, c.At)
				for j := range victims {
					f.Routers()[(i*victims+j)%routers].Parts().Crashed(beside(i*victims+j), c, c.At)
				}
			})
		})
	}
}

// victims is the number of other requests at an endpoint that ends.
const victims = 10

// Guards against what is known of crashes that is lost with the hub, or not passed to a router that starts.
func TestCrashesOutliveTheHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.Stop()
		crashThree(f.Routers()[5].Parts())
		root := f.Routers()[5].HubName()
		f.Kill(true, func(m members.Member) bool { return m.Name == root })
		f.Start(members.Member{Name: "new", Address: "10.0.9.9:1", FailureDomain: "domain0", Bears: 1}, false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.refusing(crashing(9)), len(f.Routers()))
		assert.Equal(t, f.refusing(repeated), len(f.Routers()))
	})
}

// Guards against a root that starts again and sends requests to endpoints that crash on them, until other routers report to it.
func TestStartingRootLearnsOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.Stop()
		crashThree(f.Routers()[5].Parts())
		name := f.Routers()[5].HubName()
		root := f.Kill(false, func(m members.Member) bool { return m.Name == name })[0]
		time.Sleep(time.Second)
		f.Start(root, false)
		started := f.Routers()[len(f.Routers())-1]
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, started.Parts().Decide(crashing(9), time.Now()).Refused)
		assert.Assert(t, started.Parts().Decide(repeated, time.Now()).Refused)
		time.Sleep(time.Second)
	})
}
