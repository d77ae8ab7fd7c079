package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/quarantine"
)

// request returns a request with an identity of its own.
func request(id uint64, account string, parts ...uint64) quarantine.Subject {
	s := of(account, parts...)
	s.Request = id
	return s
}

// plain returns a request without a prompt.
func plain(account string) quarantine.Subject {
	return quarantine.Subject{Service: "plain", Account: account, Request: 9}
}

// Guards against a request that is sent again and again by its client, at routers in turn, and crashes an endpoint each time.
func TestRequestIsQuarantinedAtAllRouters(t *testing.T) {
	for name, s := range map[string]quarantine.Subject{"prompt": request(9, "a", base), "single part": request(9, "a"), "no prompt": plain("a")} {
		t.Run(name, func(t *testing.T) {
			tables := []*quarantine.Table{newRouter(0, 3), newRouter(1, 3), newRouter(2, 3)}
			for i, table := range tables {
				d := table.Decide(s, at(float64(i)))
				assert.Assert(t, !d.Refused && !d.Trial)
				crash(table, float64(i)+0.1, s)
				exchange(tables, at(float64(i)+0.3))
			}
			for _, table := range tables {
				d := table.Decide(s, at(3))
				assert.Assert(t, d.Refused && d.Cause.Key.Request)
				assert.Equal(t, d.Cause.Crashes, 3)
				assert.Assert(t, !table.MayRetry(s, false))
			}
		})
	}
}

// Guards against other requests that are refused for one: the next turn of its session, and those with its parts.
func TestOtherRequestsAreNotRefused(t *testing.T) {
	var table quarantine.Table
	for i := range 5 {
		crash(&table, float64(i), request(9, "a", 7))
	}
	assert.Assert(t, refused(&table, request(9, "a", 7), 5))
	assert.Assert(t, !refused(&table, request(10, "a", 7), 5))
	assert.Assert(t, !refused(&table, request(10, "b", 7), 5))
}

// Guards against requests that hide that a part of theirs crashes endpoints, whichever request has it.
func TestPartOfSeveralRequestsIsQuarantined(t *testing.T) {
	var table quarantine.Table
	for i := range 3 {
		crash(&table, float64(i), request(9, "a", bad))
	}
	assert.Assert(t, !refused(&table, request(10, "a", bad), 3))
	crash(&table, 3, request(10, "a", bad))
	assert.Assert(t, refused(&table, request(10, "a", bad), 4))
	assert.Assert(t, refused(&table, request(11, "a", bad), 4))
}

// Guards against an account that has a request of another one refused by sending the same.
func TestSameRequestOfAnotherAccount(t *testing.T) {
	var table quarantine.Table
	for i := range 5 {
		crash(&table, float64(i), plain("a"))
	}
	assert.Assert(t, refused(&table, plain("a"), 5))
	assert.Assert(t, !refused(&table, plain("b"), 5))
	assert.Assert(t, !refused(&table, plain(""), 5))
}

// Guards against events that went well, which clear a request that crashes endpoints after them.
func TestOnlyCompleteAnswerClearsRequest(t *testing.T) {
	var table quarantine.Table
	s := request(9, "a", 7)
	for i := range 3 {
		table.Answered(s, at(float64(i)-0.2), at(float64(i)-0.1))
		table.Crashed(s, quarantine.Crash{Process: process(i), Sent: at(float64(i) - 0.5), At: at(float64(i)), Answered: true}, at(float64(i)))
	}
	assert.Assert(t, refused(&table, s, 3))
	parts, _ := table.Counts()
	assert.Equal(t, parts, quarantine.Counts{})
	table.Completed(s, at(3), at(3.5))
	assert.Assert(t, !refused(&table, s, 4))
	_, requests := table.Counts()
	assert.Equal(t, requests, quarantine.Counts{})
}

// Guards against a victim of two crashes that is still suspected after it was answered.
func TestVictimThatIsAnsweredIsCleared(t *testing.T) {
	var table quarantine.Table
	for i := range 10 {
		crash(&table, float64(i), request(uint64(100+i), "a", base), request(9, "b", base))
		if i%2 == 1 {
			table.Completed(request(9, "b", base), at(float64(i)+0.2), at(float64(i)+0.4))
		}
		assert.Assert(t, !refused(&table, request(9, "b", base), float64(i)+0.5))
	}
}

// Guards against parts, and requests that others answer, that are blamed for machines and links that are lost.
func TestSilentEnd(t *testing.T) {
	tables := []*quarantine.Table{newRouter(0, 2), newRouter(1, 2)}
	s := request(9, "a", 7)
	for i := range 3 {
		tables[0].Crashed(s, quarantine.Crash{Process: process(i), Sent: at(float64(i)), At: at(float64(i)), Silent: true}, at(float64(i)+1.2))
	}
	exchange(tables, at(5))
	parts, _ := tables[1].Counts()
	assert.Equal(t, parts, quarantine.Counts{})
	assert.Assert(t, refused(tables[1], s, 5))
	tables[1].Responded(process(1), at(5.1), at(5.2))
	exchange(tables, at(6))
	assert.Assert(t, !refused(tables[0], s, 6))
}

// Guards against a response of a successor that takes back the end of a process that another router saw.
func TestEndThatAnotherRouterSawIsNotSilent(t *testing.T) {
	tables := []*quarantine.Table{newRouter(0, 2), newRouter(1, 2)}
	s := request(9, "a")
	for i := range 3 {
		tables[0].Crashed(s, quarantine.Crash{Process: process(i), Sent: at(float64(i)), At: at(float64(i)), Silent: true}, at(float64(i)+1.2))
		tables[1].Crashed(s, quarantine.Crash{Process: process(i), Sent: at(float64(i)), At: at(float64(i))}, at(float64(i)))
	}
	exchange(tables, at(4))
	tables[0].Responded(process(1), at(5), at(5.1))
	assert.Assert(t, refused(tables[0], s, 6))
}

// Guards against a request whose client sends it again after hours, and each time crashes endpoints anew.
func TestSlowRepeatsOfADay(t *testing.T) {
	tables := []*quarantine.Table{newRouter(0, 6), newRouter(1, 6)}
	s := plain("a")
	ends := 0
	for minute := range 24 * 6 {
		now := float64(minute) * 600
		table := tables[minute%2]
		if d := table.Decide(s, at(now)); d.Refused {
			continue
		}
		ends++
		crash(table, now+1, s)
		exchange(tables, at(now+2))
	}
	t.Logf("%d ends in a day", ends)
	assert.Assert(t, ends <= 5, "%d ends", ends)
}

// Guards against trials of a request that several routers begin, or that no router begins to which its client comes.
func TestTrialsOfARequest(t *testing.T) {
	for _, routers := range []int{1, 3, 6, 300} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			var tables []*quarantine.Table
			for i := range routers {
				tables = append(tables, newRouter(i, routers))
			}
			s := plain("a")
			for i := range 3 {
				crash(tables[0], float64(i), s)
			}
			exchange(tables, at(3))
			trials, first, now := 0, 0.0, 3.0
			for n := 0; now < 60; n++ {
				table := tables[n*7%routers]
				d := table.Decide(s, at(now))
				if d.Trial {
					if trials == 0 {
						first = now
					}
					trials++
					now += d.Wait.Seconds()
					// Others know of the trial, and not yet of its crash.
					records, _ := table.Since(0, at(now))
					for _, other := range tables {
						other.Merge(records, at(now))
					}
					now += 0.01
					crash(table, now, s)
				}
				now += 0.05
			}
			assert.Equal(t, trials, 1)
			assert.Assert(t, first >= 7 && first < 7.1, "the first at %v", first)
		})
	}
}

// Guards against trials of short requests that wait until their deadline has passed, and are never sent.
func TestTrialOfAShortRequest(t *testing.T) {
	table := newRouter(0, 1)
	for i := range 3 {
		crash(table, float64(i), plain("a"))
	}
	d := table.Decide(plain("a"), at(8))
	assert.Assert(t, d.Trial)
	assert.Equal(t, d.WaitWithin(300*time.Millisecond), 75*time.Millisecond)
	assert.Equal(t, d.WaitWithin(time.Minute), d.Wait)
}

// Guards against clients that fill the memory of routers with requests, or have others dropped by that.
func TestRequestRecordsAreBounded(t *testing.T) {
	var table quarantine.Table
	for i := range 3 {
		crash(&table, float64(i), request(9, "a", bad))
	}
	for i := range 2 {
		crash(&table, 5+float64(i), request(8, "a"))
	}
	for i := range 4000 {
		crash(&table, 10+float64(i)/100, request(uint64(1000+i), "b", uint64(100_000+i)))
	}
	records, _ := table.Since(0, at(200))
	assert.Assert(t, len(records) <= 2048, "%d records", len(records))
	assert.Assert(t, refused(&table, request(9, "a", bad), 2.5))
	crash(&table, 60, request(8, "a"))
	assert.Assert(t, refused(&table, request(8, "a"), 61))
}

// Guards against a router that starts and takes over a part of the records only.
func TestAllRecordsAreTakenOver(t *testing.T) {
	var table, started quarantine.Table
	for i := range 1000 {
		crash(&table, float64(i)/100, of("a", uint64(1000+i)), request(uint64(1000+i), "b"))
	}
	for i := range 3 {
		crash(&table, 20+float64(i), request(9, "a"))
	}
	records, _ := table.Since(0, at(23))
	started.Merge(records, at(23))
	parts, requests := table.Counts()
	startedParts, startedRequests := started.Counts()
	assert.Equal(t, startedParts, parts)
	assert.Equal(t, startedRequests, requests)
	assert.Assert(t, refused(&started, request(9, "a"), 23))
}
