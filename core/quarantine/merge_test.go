package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryfall/core/quarantine"
)

// Guards against routers that go on to disagree, or to report to each other, after they have exchanged all they know.
func TestRoutersAgreeAfterExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*quarantine.Table{newRouter(0, 3), newRouter(1, 3), newRouter(2, 3)}
		now := start
		crashed := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			table := rapid.SampledFrom(tables).Draw(t, "table")
			s := of(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), rapid.SampledFrom([]uint64{1, 2, 3}).Draw(t, "part"), 4)
			s.Request = rapid.SampledFrom([]uint64{0, 7, 8}).Draw(t, "request")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				crashed += rapid.IntRange(0, 1).Draw(t, "other process")
				table.Crashed(s, quarantine.Crash{Process: process(crashed), Sent: now.Add(-time.Duration(rapid.IntRange(1, 500).Draw(t, "sent before")) * time.Millisecond), At: now, Silent: rapid.Bool().Draw(t, "silent")}, now)
			case 5:
				table.Completed(s, now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "since"))*time.Millisecond), now)
			case 2:
				table.Answered(s, now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "since"))*time.Millisecond), now)
			case 3:
				if d := table.Decide(s, now); d.Trial {
					table.EndTrial(s, rapid.Bool().Draw(t, "conclusive"), now)
				}
			case 4:
				records, _ := table.Since(0, now.Add(-5*time.Millisecond))
				rapid.SampledFrom(tables).Draw(t, "other").Merge(records, now)
			}
		}
		for range 3 {
			exchange(tables, now)
		}
		versions := versionsOf(tables)
		exchange(tables, now)
		assert.DeepEqual(t, versionsOf(tables), versions)
		for _, part := range []uint64{1, 2, 3, 4} {
			for _, account := range []string{"a", "b", "c"} {
				for _, id := range []uint64{0, 7, 8} {
					s := of(account, part)
					s.Request = id
					first := tables[0].MayRetry(s, false)
					for _, table := range tables[1:] {
						assert.Equal(t, table.MayRetry(s, false), first)
					}
				}
			}
		}
	})
}

func versionsOf(tables []*quarantine.Table) (versions []int64) {
	for _, table := range tables {
		versions = append(versions, table.Version())
	}
	return versions
}

// Guards against reports that bring back crashes from before a part was cleared.
func TestLateReportDoesNotUndoClearing(t *testing.T) {
	a, b := newRouter(0, 2), newRouter(1, 2)
	s := of("x", 7)
	for i := range 3 {
		crash(a, float64(i), s)
	}
	late, _ := a.Since(0, at(3))
	b.Merge(late, at(3))
	b.Answered(s, at(3.5), at(4))
	cleared, _ := b.Since(0, at(4))
	a.Merge(cleared, at(4))
	a.Merge(late, at(5))
	b.Merge(late, at(5))
	for _, table := range []*quarantine.Table{a, b} {
		assert.Assert(t, !refused(table, s, 5))
	}
}

// Guards against reports with senseless values.
func TestUnusableReports(t *testing.T) {
	var table quarantine.Table
	k := quarantine.Key{Scope: 1, Part: 2}
	many := slices.Repeat([]quarantine.ReportedCrash{{Process: 1, Age: -time.Hour}}, 1000)
	for i := range many {
		many[i].Process = uint64(i)
	}
	table.Merge([]quarantine.Record{
		{Key: k, Crashes: many, Age: -time.Hour},
		{Key: k, TrialNumber: -1, Trials: -7, TrialIn: -time.Hour},
		{Key: k, TrialNumber: 1, Trials: -7, Crashes: many},
	}, start)
	records, _ := table.Since(0, start)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, len(records[0].Crashes), 16)
	assert.Equal(t, records[0].Trials, 0)
}
