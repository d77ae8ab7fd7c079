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

// BenchmarkRecovery measures how long the fleet takes to notice and to come back, with the settings as they are by
// default and no traffic that would show a failure sooner. Seconds are reported as metrics; run it with -benchtime 5x.
func BenchmarkRecovery(b *testing.B) {
	for _, given := range []struct {
		name string
		once func(b *testing.B, f *fleet.Fleet) time.Duration
	}{
		{"deadRouter", deadRouter},
		{"deadEngine", deadEngine},
		{"frozenEngine", frozenEngine},
		{"leavingEngine", leavingEngine},
		{"noteWithLogSlowForHalf", slowNote},
		{"allRoutersReplaced", replaceAll},
	} {
		b.Run(given.name, func(b *testing.B) {
			var sum, worst time.Duration
			for b.Loop() {
				f := benchFleet(b)
				took := given.once(b, f)
				sum += took
				worst = max(worst, took)
				assert.NilError(b, f.Stop(context.Background()))
			}
			b.ReportMetric(sum.Seconds()/float64(b.N), "s/mean")
			b.ReportMetric(worst.Seconds(), "s/worst")
		})
	}
}

func benchFleet(b *testing.B) *fleet.Fleet {
	b.Helper()
	f := fleet.New(fleet.Options{Routers: 6, Engines: 4, Services: 1, Extra: map[string]string{"callers": "lameDuck = \"0s\"\n"}},
		log.NewNopLogger())
	assert.NilError(b, f.Start(b.Context()))
	until(b, f, func(s operator.Status) bool { return len(s.Members) == 5 && s.Endpoints[0].Incarnation != "" })
	return f
}

// until waits until all routers are as wanted, and returns how long that took.
func until(b *testing.B, f *fleet.Fleet, wanted func(operator.Status) bool) time.Duration {
	b.Helper()
	began := time.Now()
	for _, r := range f.Routers() {
		for !wanted(look(b, r.Operators())) {
			assert.Assert(b, time.Since(began) < time.Minute)
			<-time.After(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func look(b *testing.B, operators string) (s operator.Status) {
	b.Helper()
	resp, err := http.Get("http://" + operators + "/status")
	assert.NilError(b, err)
	defer resp.Body.Close()
	assert.NilError(b, json.NewDecoder(resp.Body).Decode(&s))
	return s
}

func deadRouter(b *testing.B, f *fleet.Fleet) time.Duration {
	f.KillRouter(f.Routers()[3])
	return until(b, f, func(s operator.Status) bool {
		for _, m := range s.Members {
			if m.Name == "entry-4" {
				return m.State == "dead"
			}
		}
		return false
	})
}

func engineIs(state health.State) func(operator.Status) bool {
	return func(s operator.Status) bool { return s.Endpoints[0].Health == state }
}

func deadEngine(b *testing.B, f *fleet.Fleet) time.Duration {
	f.KillEngine("engine-01")
	return until(b, f, engineIs(health.Down))
}

func frozenEngine(b *testing.B, f *fleet.Fleet) time.Duration {
	f.Engine("engine-01").Set(engine.Faults{Hang: true})
	return until(b, f, engineIs(health.Down))
}

func leavingEngine(b *testing.B, f *fleet.Fleet) time.Duration {
	f.Engine("engine-01").Set(engine.Faults{Leaving: true})
	return until(b, f, engineIs(health.Leaving))
}

func slowNote(b *testing.B, f *fleet.Fleet) time.Duration {
	f.Log.Set(logservice.Faults{SlowMs: 20_000, SlowReaders: []string{"entry-1", "entry-2", "entry-3"}})
	// The reads that wait at the log already are answered at once; only those after them are slow.
	f.Publish(b.Context(), modelNote("second", "first", "sur-small"))
	until(b, f, func(s operator.Status) bool { return s.Release.Note == "second" })
	f.Publish(b.Context(), modelNote("third", "second", "sur-tiny"))
	return until(b, f, func(s operator.Status) bool { return s.Release.Note == "third" })
}

func replaceAll(b *testing.B, f *fleet.Fleet) time.Duration {
	for n := range 200 {
		base := "first"
		if n > 0 {
			base = fmt.Sprint("note-", n-1)
		}
		f.Publish(b.Context(), modelNote(fmt.Sprint("note-", n), base, fmt.Sprint("m", n)))
	}
	for _, r := range f.Routers() {
		f.KillRouter(r)
	}
	began := time.Now()
	for range 6 {
		_, err := f.AddRouter(b.Context())
		assert.NilError(b, err)
	}
	until(b, f, func(s operator.Status) bool { return s.Ready && s.Release.Note == "note-199" })
	assert.Assert(b, len(f.Log.Records(configuration.Stream)) >= 200)
	return time.Since(began)
}
