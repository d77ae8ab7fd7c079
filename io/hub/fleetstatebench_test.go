package hub

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/fleetstate"
)

// benchmarkState returns the state of a router whose figures differ from those of the others.
func benchmarkState(router, endpoints int) (r fleetstate.Report) {
	for e := range endpoints {
		r.Endpoints = append(r.Endpoints, fleetstate.EndpointState{
			Endpoint: uint32(e+1) * 2654435761, Running: 12 + (router+e)%20, Waiting: e % 4, Slots: 24, Age: time.Duration((router*7+e)%400) * time.Millisecond,
			Slowdown: 1 + float32(e%4)/2, Lasting: 1 + float32(e%30)/100, HeldTokens: 1000,
		})
	}
	for i := range 48 {
		service, rank := uint32(1+i%3)*2654435769, i/3%2
		r.Accounts = append(r.Accounts, fleetstate.AccountDemand{
			Service: service, Rank: rank, Account: uint32(1+(router+i)%100) * 2246822519, Accounts: 1, Arrivals: float32(1 + i%10),
		})
		r.Retries = append(r.Retries, fleetstate.PromisedRetries{Service: service, Rank: rank, Ahead: i / 6, Count: 1 + i%5})
	}
	return r
}

// BenchmarkFleetState is a report and its reply, encoded and decoded by both sides, with the followers and endpoints of the busiest hub
// in fleets of 6, 76 and 300 routers.
func BenchmarkFleetState(b *testing.B) {
	for _, fleet := range []struct{ routers, followers, endpoints int }{{6, 5, 6}, {76, 75, 60}, {300, 42, 240}} {
		b.Run(fmt.Sprint(fleet.routers), func(b *testing.B) {
			hub, r := newStateRouter(b, "hub", &fixedState{}), newStateRouter(b, "r", &fixedState{})
			r.connect(b, "hub", hub.service)
			args := make([]*StateReport, fleet.followers)
			for i := range args {
				state := benchmarkState(i, fleet.endpoints)
				args[i] = &StateReport{From: fmt.Sprint("vm", i), Routers: 1, Interval: 400 * time.Millisecond, State: toStateColumns(&state)}
			}
			began := processorTime(b)
			for i := 0; b.Loop(); i++ {
				var reply StateReply
				assert.NilError(b, r.agent.callState(b.Context(), r.agent.client, args[i%len(args)], &reply))
			}
			b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// processorTime returns the processor time of this process: on a busy machine it differs from the time that passes.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
