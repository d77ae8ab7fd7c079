package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/health"
)

var start = time.Unix(1_000_000, 0)

func table() *health.Table {
	t := &health.Table{}
	t.Configure([]string{"e"})
	t.RecordAnswer("e", "one", false, start)
	return t
}

// A delayed "live" from the VM list or a report doesn't clear the leaving mark of an incarnation; a new incarnation has
// no mark.
func TestLeavingMarkIsNotTakenBack(t *testing.T) {
	h := table()
	assert.Assert(t, h.MarkLeaving("e", "one"))
	assert.Assert(t, !h.MarkLeaving("e", "one"))
	h.Listed("e", false)
	h.RecordAnswer("e", "one", false, start.Add(time.Second))
	assert.Equal(t, h.State("e", start.Add(time.Second)), health.Leaving)
	assert.Assert(t, h.RecordAnswer("e", "two", false, start.Add(2*time.Second)))
	assert.Equal(t, h.State("e", start.Add(2*time.Second)), health.Up)
	h.MarkLeaving("e", "one")
	assert.Equal(t, h.State("e", start.Add(2*time.Second)), health.Up)
}

// The VM list still shows the old mark when the new incarnation is already up; only a change of the mark counts.
func TestDelayedListDoesNotMarkTheNextIncarnation(t *testing.T) {
	h := table()
	h.Listed("e", true)
	assert.Equal(t, h.State("e", start), health.Leaving)
	h.RecordAnswer("e", "two", false, start.Add(time.Second))
	h.Listed("e", true)
	assert.Equal(t, h.State("e", start.Add(time.Second)), health.Up)
}

// A refused connection marks an endpoint as down at once, soft failures only when consecutive; an answer brings it
// back.
func TestFailures(t *testing.T) {
	h := table()
	h.Failed("e", false, start)
	h.Failed("e", false, start)
	assert.Equal(t, h.State("e", start), health.Up)
	h.Failed("e", false, start)
	assert.Equal(t, h.State("e", start), health.Down)
	h.RecordAnswer("e", "one", false, start.Add(time.Second))
	assert.Equal(t, h.State("e", start.Add(time.Second)), health.Up)
	h.Failed("e", true, start.Add(time.Second))
	assert.Equal(t, h.State("e", start.Add(time.Second)), health.Down)
}

// An endpoint answers and is then killed, and its answer is read after a connection was refused. The endpoint must stay
// down until it answers a request sent after the refusal.
func TestAnswerToEarlierRequestDoesNotRevive(t *testing.T) {
	h := table()
	h.Failed("e", true, start.Add(2*time.Second))
	h.RecordAnswer("e", "one", false, start.Add(time.Second))
	assert.Equal(t, h.State("e", start.Add(2*time.Second)), health.Down)
	h.RecordAnswer("e", "one", false, start.Add(3*time.Second))
	assert.Equal(t, h.State("e", start.Add(3*time.Second)), health.Up)
}

// An endpoint that flaps every 20 s is damped for longer with each return; its flaps are forgotten after it has stayed
// up.
func TestFlapsAreDamped(t *testing.T) {
	h := table()
	dampedFor := []time.Duration{}
	now := start
	for range 4 {
		now = now.Add(20 * time.Second)
		h.Failed("e", true, now)
		h.RecordAnswer("e", "one", false, now)
		wait := time.Duration(0)
		for h.State("e", now.Add(wait)) == health.Damped {
			wait += time.Second
		}
		dampedFor = append(dampedFor, wait)
	}
	assert.DeepEqual(t, dampedFor, []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second})
	now = now.Add(10 * time.Minute)
	h.Failed("e", true, now)
	h.RecordAnswer("e", "one", false, now)
	assert.Equal(t, h.State("e", now), health.Up)
}

// A router that starts while the list shows a leaving mark can't tell which incarnation it belongs to. It sends no
// requests there while the list shows the mark, doesn't pass the mark on, and uses the endpoint once the mark is gone.
func TestUnattributedMarkCountsWhileListed(t *testing.T) {
	h := &health.Table{}
	h.Configure([]string{"e"})
	h.Listed("e", true)
	h.RecordAnswer("e", "one", false, start)
	assert.Equal(t, h.State("e", start), health.Leaving)
	assert.Assert(t, !h.KnownLeaving("e"))
	h.Listed("e", false)
	assert.Equal(t, h.State("e", start), health.Up)
}

// A configuration change adds an endpoint just after a router has started, before any endpoint has answered. Only
// the added endpoint counts as recently started; the others may have been up for long and have prefixes cached.
func TestOnlyAddedEndpointsHaveRecentlyStarted(t *testing.T) {
	h := &health.Table{}
	h.Configure(nil)
	h.Configure([]string{"old"})
	h.Configure([]string{"old", "added"})
	h.RecordAnswer("old", "one", false, start)
	h.RecordAnswer("added", "one", false, start)
	assert.Assert(t, !h.RecentlyStarted("old", time.Minute, start))
	assert.Assert(t, h.RecentlyStarted("added", time.Minute, start))
	assert.Assert(t, !h.RecentlyStarted("added", time.Minute, start.Add(time.Hour)))
}
