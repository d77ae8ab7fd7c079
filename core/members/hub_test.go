package members_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/members"
)

var now = time.Unix(1000, 0)

// vm returns a router on a small VM; every twentieth VM of a failure domain is a large one.
func vm(i int) members.Member {
	m := members.Member{
		Name: fmt.Sprint("vm", i), Address: fmt.Sprint("10.0.0.", i), FailureDomain: fmt.Sprint("domain", i%6), Started: 1,
		Bears: members.VM{Cores: 0.2, MemoryMB: 184, LinkMbps: 20}.FollowerCapacity(),
	}
	if isLarge(i) {
		m.Bears = members.VM{Cores: 0.8, MemoryMB: 536, LinkMbps: 200}.FollowerCapacity()
	}
	return m
}

func isLarge(i int) bool { return i/6%20 == 0 }

// listOf returns the list of a fleet of n routers; silent routers are marked as failed.
func listOf(n int, silent func(i int) bool) *members.List {
	l := &members.List{}
	for i := range n {
		l.Put(vm(i))
		if silent(i) {
			l.MarkFailed(vm(i).Name, now)
		}
	}
	return l
}

func noneSilent(int) bool { return false }

// hubsOf returns the hub that each router follows by name, or "" for a router that follows no hub.
func hubsOf(n int, silent func(i int) bool) (hubs map[string]string) {
	l := listOf(n, silent)
	hubs = map[string]string{}
	for i := range n {
		if silent(i) {
			continue
		}
		m, _ := l.Hub(vm(i).Name)
		hubs[vm(i).Name] = m.Name
	}
	return hubs
}

// checkLevels checks that there is one root and no cycle. It returns the number of hub levels and the highest
// number of followers of one hub.
func checkLevels(t *testing.T, hubs map[string]string) (levels, maxFollowers int) {
	t.Helper()
	roots, followers := 0, map[string]int{}
	for name, hub := range hubs {
		if hub == "" {
			roots++
		}
		followers[hub]++
		depth := 0
		for next := name; hubs[next] != ""; next = hubs[next] {
			depth++
			assert.Assert(t, depth < 10, "%s follows in a cycle", name)
		}
		levels = max(levels, depth)
	}
	assert.Equal(t, roots, 1)
	delete(followers, "")
	for _, n := range followers {
		maxFollowers = max(maxFollowers, n)
	}
	return levels, maxFollowers
}

// A single hub for hundreds of routers was overloaded. Each hub must have no more followers than its VM can serve,
// at present and at future fleet sizes. If one VM can serve all routers, there must be a single level: with two
// levels, a fleet of 72 sent more than 3 in 100 requests to engines beyond the users' bound.
func TestHubsStayWithinVMCapacity(t *testing.T) {
	for _, c := range []struct{ routers, levels, most int }{{9, 1, 8}, {81, 1, 80}, {300, 2, 64}, {1700, 2, 64}} {
		levels, most := checkLevels(t, hubsOf(c.routers, noneSilent))
		assert.Equal(t, levels, c.levels, "%d routers", c.routers)
		assert.Assert(t, most <= c.most, "%d routers, %d follow one", c.routers, most)
	}
}

// When all large VMs are lost, small ones serve as hubs. There are more of them then, each within its capacity.
func TestSmallVMsServeAsHubsWhenLargeOnesFail(t *testing.T) {
	hubs := hubsOf(300, isLarge)
	levels, most := checkLevels(t, hubs)
	assert.Equal(t, levels, 2)
	assert.Assert(t, most <= vm(299).MaxFollowers(), "%d follow one", most)
}

// When a hub is lost, only its followers move, and those few other routers of the domain whose nearest hub by hash
// is now its replacement. Routers in other domains stay.
func TestHubLossMovesOnlyItsFollowers(t *testing.T) {
	before := hubsOf(300, noneSilent)
	var lost int
	for i := range 300 {
		if hub := before[vm(i).Name]; hub != "" && before[hub] != "" {
			_, _ = fmt.Sscanf(hub, "vm%d", &lost)
		}
	}
	moved := 0
	for name, hub := range hubsOf(300, func(i int) bool { return i == lost }) {
		if before[name] != hub && before[name] != vm(lost).Name {
			moved++
		}
	}
	assert.Assert(t, moved <= 300/6/4, "%d moved", moved)
}

// Routers in a failure domain that is cut off reach only each other, and must choose a hub within the domain.
func TestPartitionedDomainHasHub(t *testing.T) {
	levels, _ := checkLevels(t, hubsOf(300, func(i int) bool { return i%6 != 2 }))
	assert.Assert(t, levels <= 2)
}

// Routers that disagree on who answers never follow each other in a cycle.
func TestNoCycleWithDifferingViews(t *testing.T) {
	for a := range 40 {
		for b := range 40 {
			if a == b {
				continue
			}
			m, _ := listOf(40, func(i int) bool { return i%7 == 3 && i != a }).Hub(vm(a).Name)
			o, _ := listOf(40, func(i int) bool { return i%5 == 2 && i != b }).Hub(vm(b).Name)
			assert.Assert(t, m.Name != vm(b).Name || o.Name != vm(a).Name)
		}
	}
}

// A VM with many cores but a slow link or little memory does not rank as a better hub.
func TestCapacityIsLimitedByScarcestResource(t *testing.T) {
	thin := members.Member{Name: "thin", Bears: members.VM{Cores: 8, MemoryMB: 4096, LinkMbps: 2}.FollowerCapacity()}
	full := members.Member{Name: "full", Bears: members.VM{Cores: 8, MemoryMB: 70, LinkMbps: 1000}.FollowerCapacity()}
	even := members.Member{Name: "even", Bears: members.VM{Cores: 0.2, MemoryMB: 184, LinkMbps: 20}.FollowerCapacity()}
	odd := members.Member{Name: "odd", Bears: members.VM{Cores: -1, MemoryMB: -1, LinkMbps: -1}.FollowerCapacity()}
	l := &members.List{}
	l.Put(thin, full, even, odd)
	for _, self := range []string{"thin", "full", "odd"} {
		m, ok := l.Hub(self)
		assert.Assert(t, ok)
		assert.Equal(t, m.Name, "even")
	}
	assert.Equal(t, thin.MaxFollowers(), 5)
	assert.Equal(t, odd.MaxFollowers(), 1)
}

// A hub that is gone for good is retried at increasing intervals and never waited for. A hub that restarts with a
// new process is followed at once.
func TestSilentHubIsRetriedWithBackoff(t *testing.T) {
	l := listOf(2, noneSilent)
	first, ok := l.Hub("vm1")
	assert.Assert(t, ok)
	l.MarkFailed(first.Name, now)
	retries := 0
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
		_, ok = l.Hub("vm1")
		assert.Assert(t, !ok)
		for _, m := range l.DueRetries("vm1", 9, at) {
			l.MarkFailed(m.Name, at)
			retries++
		}
	}
	assert.Assert(t, retries >= 6 && retries <= 9, "%d", retries)
	first.Started++
	l.Put(first)
	_, ok = l.Hub("vm1")
	assert.Assert(t, ok)
}

// A hub that accepts connections again but still fails as a hub keeps its backoff; it is not followed again twice
// a second.
func TestReachableButFailingHubIsRetriedWithBackoff(t *testing.T) {
	l := listOf(2, noneSilent)
	attempts := 0
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
		for _, m := range l.DueRetries("vm1", 9, at) {
			l.MarkReached(m.Name)
		}
		if m, ok := l.Hub("vm1"); ok {
			l.MarkFailed(m.Name, at)
			attempts++
		}
	}
	assert.Assert(t, attempts <= 9, "%d", attempts)
}

// The store holds the entry that a router wrote when it first joined. That entry must not overwrite what is known
// of a newer process.
func TestStaleEntryIsIgnored(t *testing.T) {
	l := listOf(3, noneSilent)
	m := vm(1)
	m.Started = 7
	assert.Equal(t, len(l.Put(m)), 1)
	assert.Equal(t, len(l.Put(vm(1))), 0)
	assert.Assert(t, l.Contains(vm(1)))
	moved := vm(1)
	moved.Address = "elsewhere"
	assert.Assert(t, !l.Contains(moved))
}

// Since returns only what changed, and nothing to a caller with the same list.
func TestSinceReturnsOnlyChanges(t *testing.T) {
	l := listOf(300, noneSilent)
	all, number := l.Since(0, 0)
	assert.Equal(t, len(all), 300)
	l.Put(members.Member{Name: "new", Address: "a"})
	changed, _ := l.Since(number, 0)
	assert.Equal(t, len(changed), 1)
	other := &members.List{}
	everybody, _ := l.Since(0, 0)
	for i := range everybody {
		other.Put(everybody[len(everybody)-1-i])
	}
	none, _ := l.Since(0, other.Digest())
	assert.Equal(t, len(none), 0)
}

func BenchmarkHub(b *testing.B) {
	l := listOf(1700, noneSilent)
	b.ReportAllocs()
	for b.Loop() {
		l.Hub("vm1699")
	}
}
