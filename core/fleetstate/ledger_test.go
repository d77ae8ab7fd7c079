package fleetstate_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetstate"
)

func sorted(states []fleetstate.EndpointState) []fleetstate.EndpointState {
	slices.SortFunc(states, func(a, b fleetstate.EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return states
}

// Guards against a router that ends up with other states than the hub although it has received every change, and against
// unchanged states that are sent again.
func TestReplicaFollowsLedger(t *testing.T) {
	var l fleetstate.Ledger
	var r fleetstate.Replica
	var number int64
	sent := 0
	// Every fourth endpoint answers in a round. The others have answered before.
	running, answered := [40]int{}, [40]time.Time{}
	for e := range answered {
		answered[e] = start
	}
	for round := range 100 {
		now := start.Add(time.Duration(round) * 400 * time.Millisecond)
		var states []fleetstate.EndpointState
		for e := range running {
			if e%4 == round%4 {
				running[e], answered[e] = round, now
			}
			states = append(states, answer(uint32(e), running[e], now.Sub(answered[e])))
		}
		l.Update(states, now)
		since := number
		var changed []fleetstate.EndpointState
		changed, number = l.Since(since, now)
		sent += len(changed)
		r.Apply(changed, since == 0, now)
		got := sorted(r.States(now))
		for _, want := range states {
			i := slices.IndexFunc(got, func(s fleetstate.EndpointState) bool { return s.Endpoint == want.Endpoint })
			assert.Assert(t, i >= 0, "round %d endpoint %d", round, want.Endpoint)
			assert.Equal(t, got[i].Running, want.Running)
			assert.Assert(t, got[i].Age-want.Age < 500*time.Millisecond && got[i].Age >= want.Age, "%v for %v", got[i].Age, want.Age)
		}
	}
	assert.Assert(t, sent <= 40+100*10, "%d states", sent)
}

// Guards against a router that keeps a state after the hub has forgotten it.
func TestReplicaForgetsOldStates(t *testing.T) {
	var r fleetstate.Replica
	held := answer(2, 1, time.Second)
	held.HeldTokens = 10
	r.Apply([]fleetstate.EndpointState{answer(1, 1, time.Second), held}, true, start)
	assert.Equal(t, len(r.States(start.Add(28*time.Second))), 2)
	assert.Equal(t, len(r.States(start.Add(fleetstate.StateTerm))), 1)
	r.Apply(nil, true, start)
	assert.Equal(t, len(r.States(start)), 0)
}

// Guards against reports that repeat what the hub knows better, and against reports that lack held tokens or newer answers.
func TestReportLacksOlderAnswers(t *testing.T) {
	var r fleetstate.Replica
	held := answer(2, 5, time.Second)
	held.HeldTokens = 10
	fresh, unknown := answer(3, 7, 100*time.Millisecond), answer(4, 1, time.Minute)
	own := []fleetstate.EndpointState{answer(1, 4, time.Second), held, fresh, unknown}
	assert.DeepEqual(t, r.WithoutOlder(own, start), own)
	r.Apply([]fleetstate.EndpointState{
		answer(1, 9, 500*time.Millisecond), answer(2, 9, 500*time.Millisecond), answer(3, 9, 500*time.Millisecond), {Endpoint: 4, HeldTokens: 3},
	}, true, start)
	assert.DeepEqual(t, r.WithoutOlder(own, start), []fleetstate.EndpointState{{Endpoint: 2, HeldTokens: 10}, fresh, unknown})
}
