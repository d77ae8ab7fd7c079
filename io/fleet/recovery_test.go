package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/health"
	"savoryfall/io/configuration"
	"savoryfall/io/fleet"
	"savoryfall/io/operator"
	"savoryfall/io/standin/engine"
	"savoryfall/io/standin/logservice"
)

// BenchmarkRecovery measures how long the fleet takes to detect a failure or to recover from one, with default settings
// and without client traffic, which would reveal a failure sooner. It reports seconds as metrics; run it with
// -benchtime 5x.
func BenchmarkRecovery(b *testing.B) {
	for _, tc := range []struct {
		name    string
		measure func(b *testing.B, f *fleet.Fleet) time.Duration
	}{
		{"deadRouter", killRouter},
		{"deadEngine", killEngine},
		{"frozenEngine", hangEngine},
		{"leavingEngine", markEngineLeaving},
		{"noteWithLogSlowForHalf", publishWithSlowLog},
		{"allRoutersReplaced", replaceAllRouters},
	} {
		b.Run(tc.name, func(b *testing.B) {
			var sum, worst time.Duration
			for b.Loop() {
				f := startBenchFleet(b)
				took := tc.measure(b, f)
				sum += took
				worst = max(worst, took)
				assert.NilError(b, f.Stop(context.Background()))
			}
			b.ReportMetric(sum.Seconds()/float64(b.N), "s/mean")
			b.ReportMetric(worst.Seconds(), "s/worst")
		})
	}
}

func startBenchFleet(b *testing.B) *fleet.Fleet {
	b.Helper()
	f := fleet.New(fleet.Options{Routers: 6, Engines: 4, Services: 1, ExtraSettings: map[string]string{"callers": "lameDuck = \"0s\"\n"}},
		log.NewNopLogger())
	assert.NilError(b, f.Start(b.Context()))
	waitForAll(b, f, func(s operator.Status) bool { return len(s.Members) == 5 && s.Endpoints[0].Incarnation != "" })
	return f
}

// waitForAll waits until the status of every router meets the condition, and returns how long that took.
func waitForAll(b *testing.B, f *fleet.Fleet, condition func(operator.Status) bool) time.Duration {
	b.Helper()
	began := time.Now()
	for _, r := range f.Routers() {
		for !condition(readStatus(b, r.OperatorAddress())) {
			assert.Assert(b, time.Since(began) < time.Minute)
			<-time.After(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func readStatus(b *testing.B, operators string) (s operator.Status) {
	b.Helper()
	resp, err := http.Get("http://" + operators + "/status")
	assert.NilError(b, err)
	defer resp.Body.Close()
	assert.NilError(b, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

func killRouter(b *testing.B, f *fleet.Fleet) time.Duration {
	f.KillRouter(f.Routers()[3])
	return waitForAll(b, f, func(s operator.Status) bool {
		for _, m := range s.Members {
			if m.Name == "entry-4" {
				return m.State == "dead"
			}
		}
		return false
	})
}

func engineHealthIs(state health.State) func(operator.Status) bool {
	return func(s operator.Status) bool { return s.Endpoints[0].Health == state }
}

func killEngine(b *testing.B, f *fleet.Fleet) time.Duration {
	f.KillEngine("engine-01")
	return waitForAll(b, f, engineHealthIs(health.Down))
}

func hangEngine(b *testing.B, f *fleet.Fleet) time.Duration {
	f.Engine("engine-01").SetFaults(engine.Faults{Hang: true})
	return waitForAll(b, f, engineHealthIs(health.Down))
}

func markEngineLeaving(b *testing.B, f *fleet.Fleet) time.Duration {
	f.Engine("engine-01").SetFaults(engine.Faults{Leaving: true})
	return waitForAll(b, f, engineHealthIs(health.Leaving))
}

func publishWithSlowLog(b *testing.B, f *fleet.Fleet) time.Duration {
	f.Log.SetFaults(logservice.Faults{DelayMs: 20_000, SlowReaders: []string{"entry-1", "entry-2", "entry-3"}})
	// The long polls that are already pending return at once; only the reads after them are slow.
	f.Publish(b.Context(), addModelReleaseNote("second", "first", "sur-small"))
	waitForAll(b, f, func(s operator.Status) bool { return s.Release.Note == "second" })
	f.Publish(b.Context(), addModelReleaseNote("third", "second", "sur-tiny"))
	return waitForAll(b, f, func(s operator.Status) bool { return s.Release.Note == "third" })
}

func replaceAllRouters(b *testing.B, f *fleet.Fleet) time.Duration {
	for n := range 200 {
		base := "first"
		if n > 0 {
			base = fmt.Sprint("note-", n-1)
		}
		f.Publish(b.Context(), addModelReleaseNote(fmt.Sprint("note-", n), base, fmt.Sprint("m", n)))
	}
	for _, r := range f.Routers() {
		f.KillRouter(r)
	}
	began := time.Now()
	for range 6 {
		_, err := f.AddRouter(b.Context())
		assert.NilError(b, err)
	}
	waitForAll(b, f, func(s operator.Status) bool { return s.Ready && s.Release.Note == "note-199" })
	assert.Assert(b, len(f.Log.Records(configuration.Stream)) >= 200)
	return time.Since(began)
}
