package command_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakeendpoint"
	"savoryfall/platform/standin/testclient"
)

const (
	// endlessClients call one router.
	endlessClients = 36
	// endlessShare is the share of the answers of a faulty endpoint that do not end.
	endlessShare = 3
)

const endlessConfiguration = `{"version":1,"routes":[
	{"name":"read","host":"shop.example","path_prefix":"/read/","type":"idempotent","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3},
	{"name":"book","host":"shop.example","path_prefix":"/book/","type":"non_idempotent","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3},
	{"name":"draft","host":"shop.example","path_prefix":"/draft/","type":"streaming","timeout_ms":3000,"goal_ms":100,"service":"models","max_attempts":3}],
	"services":[{"name":"plain","max_conns":400},{"name":"models","max_conns":400,"engine":{"slots":64,"kv_capacity":100000}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"coop","api_keys":["good"]}]}`

// Guards against a router that is ended for its memory, and the requests with it, by answers that do not end, and against refusals that
// say that a request has not run because its answer did not end. ENDLESS_SECONDS is how long each kind is played.
func TestAnswersWithoutEnd(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("ENDLESS_SECONDS"))
	if err != nil {
		seconds = 1
	}
	for name, a := range fakeendpoint.EndlessAnswers {
		t.Run(name, func(t *testing.T) {
			playEndless(t, a, time.Duration(seconds)*time.Second)
		})
	}
}

func playEndless(t *testing.T, a fakeendpoint.EndlessAnswer, d time.Duration) {
	f := newMemoryFleet(t, endlessConfiguration, memoryLimitMB)
	for _, e := range f.endpoints[:len(f.endpoints)/2] {
		e.AnswerWithoutEnd(a, endlessShare)
	}
	until := time.Now().Add(d)
	var clients sync.WaitGroup
	var asked, served, unanswered, untrue atomic.Int64
	for n := range endlessClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("c%dr%d", n, i)
				method, path := "GET", "/read/x"
				if n%3 > 0 {
					method, path = "POST", []string{"", "/book/x", "/draft/x"}[n%3]
				}
				r := testclient.Send(f.address, testclient.Request{Method: method, Host: "shop.example", Path: path, ID: id, Key: "good", Prompt: testclient.NoPrompt})
				asked.Add(1)
				switch {
				case r.Status == 200 && r.Complete:
					served.Add(1)
				case r.Status == 0:
					unanswered.Add(1)
				case n%3 == 1 && f.ran(id) && slices.Contains([]int{408, 421, 429, 503}, r.Status):
					untrue.Add(1)
				}
				<-time.After(10 * time.Millisecond)
			}
		})
	}
	peak := f.peakMB(&clients)
	t.Logf("%d requests, %d served, %d without an answer, %d refused untruly; %d MB", asked.Load(), served.Load(), unanswered.Load(), untrue.Load(), peak)
	assert.Assert(t, peak <= memoryLimitMB*memoryFactor)
	assert.Equal(t, unanswered.Load(), int64(0))
	assert.Equal(t, untrue.Load(), int64(0))
}
