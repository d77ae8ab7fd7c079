package fleet_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"savoryfall/core/header"
	"savoryfall/io/fleet"
	"savoryfall/io/standin/engine"
	"savoryfall/io/standin/plainservice"
)

func startFleetWithLimits(t *testing.T, engines, services int, limits string) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: engines, Services: services, ExtraSettings: map[string]string{
		"peers": fastPeers, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n", "limits": limits,
	}})
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", description)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func setAllFaults(f *fleet.Fleet, faults engine.Faults) {
	for _, e := range f.Engines() {
		e.SetFaults(faults)
	}
}

// streamLines requests a streamed completion and returns all lines of its body.
func streamLines(ctx context.Context, f *fleet.Fleet, text string) (lines []string, err error) {
	resp, err := post(ctx, f, "/v1/chat/completions", fmt.Sprintf(
		`{"model":"sur-large","stream":true,"messages":[{"role":"user","content":%q}]}`, text))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

func post(ctx context.Context, f *fleet.Fleet, path, body string) (resp *http.Response, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Routers()[0].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+fleet.APIKey("guardia"))
	return http.DefaultClient.Do(r)
}

// complete requests a streamed completion with the OpenAI client and returns its text.
func complete(t *testing.T, f *fleet.Fleet, text string) string {
	t.Helper()
	got, err := completeContext(t.Context(), f, text)
	assert.NilError(t, err)
	return got
}

func completeContext(ctx context.Context, f *fleet.Fleet, text string) (got string, err error) {
	c := client(f, 0)
	s := c.Chat.Completions.NewStreaming(ctx, params(text))
	id := ""
	for s.Next() {
		if id == "" {
			id = s.Current().ID
		}
		if s.Current().ID != id {
			return got, fmt.Errorf("completion ID changed from %s to %s", id, s.Current().ID)
		}
		for _, choice := range s.Current().Choices {
			got += choice.Delta.Content
		}
	}
	return got, s.Err()
}

func want(text string) string {
	return engine.ExpectedAnswer(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, text))
}

// The engine's first response carries the attempt ID of another request, as when responses on a connection get mixed
// up. The router drops it, closes the connection and retries at another engine; the client gets its own complete
// response.
func TestMismatchedResponseIsDropped(t *testing.T) {
	f := startFleetWithLimits(t, 3, 0, "")
	f.Engine("engine-01").SetFaults(engine.Faults{WrongAttemptNext: 1})
	f.Engine("engine-02").SetFaults(engine.Faults{WrongAttemptNext: 1})
	for i := range 6 {
		text := fmt.Sprintf("mismatched %d #20", i)
		assert.Equal(t, complete(t, f, text), want(text))
	}
}

// One engine responds only after the first-token timeout, while the next request is already in flight. The late
// response must not be delivered to that request; every client gets its own complete response.
func TestLateResponseIsDropped(t *testing.T) {
	f := startFleetWithLimits(t, 2, 0, "firstToken = \"100ms\"\n")
	for name, e := range f.Engines() {
		if name == "engine-01" {
			e.SetFaults(engine.Faults{DelayMs: 300})
		}
	}
	for i := range 8 {
		text := fmt.Sprintf("late %d #8", i)
		assert.Equal(t, complete(t, f, text), want(text))
	}
}

// An engine fails before or during a stream. Another engine continues after the text that the client already has; the
// client gets one stream without a gap, under one completion ID.
func TestStreamContinuesAfterEngineFailure(t *testing.T) {
	for _, fault := range []struct {
		name   string
		faults engine.Faults
	}{
		{"dies", engine.Faults{AbortNext: 1, StopAfterTokens: 7}},
		{"dies at the first token", engine.Faults{AbortNext: 1, StopAfterTokens: 1}},
		{"ends without [DONE]", engine.Faults{TruncateNext: 1, StopAfterTokens: 7}},
		{"drops the request", engine.Faults{DropNext: 1}},
		{"fails", engine.Faults{FailNext: 1}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			f := startFleetWithLimits(t, 4, 0, "")
			f.Engine("engine-01").SetFaults(fault.faults)
			f.Engine("engine-02").SetFaults(fault.faults)
			for i := range 6 {
				text := fmt.Sprintf("long %d #40", i)
				assert.Equal(t, complete(t, f, text), want(text))
			}
		})
	}
}

// Every engine dies in the middle of the stream. The client gets an error event and no [DONE] event, so that it cannot
// mistake the partial response for a complete one.
func TestUnrecoverableStreamEndsInError(t *testing.T) {
	f := startFleetWithLimits(t, 2, 0, "")
	setAllFaults(f, engine.Faults{AbortNext: 9, StopAfterTokens: 3})
	lines, err := streamLines(t.Context(), f, "doomed #40")
	assert.NilError(t, err)
	body := strings.Join(lines, "\n")
	assert.Assert(t, strings.Contains(body, `"outcome":"unknown"`), body)
	assert.Assert(t, !strings.Contains(body, "[DONE]"), body)
}

// The client disconnects in the middle of a stream. The router cancels the request at the engine, which becomes idle.
func TestClientDisconnectCancelsEngineWork(t *testing.T) {
	f := startFleetWithLimits(t, 1, 0, "")
	ctx, disconnect := context.WithCancel(t.Context())
	resp, err := post(ctx, f, "/v1/chat/completions",
		`{"model":"sur-large","stream":true,"messages":[{"role":"user","content":"endless #20000"}]}`)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 64))
	assert.NilError(t, err)
	disconnect()
	waitFor(t, "the engine is idle", func() bool { return f.Engine("engine-01").ActualState().Requests == 0 })
}

// The outcome header reports notRun when every process of a plain service refused the call, and unknown when a process
// received the call and its connection broke or its response was for another call. The call runs at most once.
func TestPlainServiceFailureOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  plainservice.Faults
		outcome string
	}{
		{"refuses", plainservice.Faults{Refuse: true}, "notRun"},
		{"drops before running", plainservice.Faults{DropBefore: 9}, "unknown"},
		{"drops after running", plainservice.Faults{DropAfter: 9}, "unknown"},
		{"mismatched response", plainservice.Faults{WrongAttemptNext: 9}, "unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startFleetWithLimits(t, 0, 2, "")
			for _, s := range f.Services() {
				s.SetFaults(tc.faults)
			}
			resp, err := post(t.Context(), f, fleet.NonIdempotentPath, "permit")
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.Header.Get(header.Outcome), tc.outcome, "%s", body)
			ran := 0
			for _, s := range f.Services() {
				ran += s.RunCounts()[""]
			}
			assert.Assert(t, ran <= 1, "executed %d times", ran)
			assert.Assert(t, tc.outcome != "notRun" || ran == 0)
		})
	}
}

// The service sends fewer bytes than its Content-Length, or ends a chunked response without the last chunk. The client
// sees its connection break instead of a short response that looks complete.
func TestTruncatedResponseBreaksConnection(t *testing.T) {
	f := startFleetWithLimits(t, 0, 1, "")
	for _, faults := range []plainservice.Faults{{TruncateAnswers: 1}, {DropMidAnswer: 1}} {
		f.Service("service-01").SetFaults(faults)
		resp, err := post(t.Context(), f, "/permits/list", "x")
		assert.NilError(t, err)
		var got bytes.Buffer
		_, err = got.ReadFrom(resp.Body)
		assert.Check(t, resp.Body.Close())
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v after %q", err, got.String())
	}
}

// Five of six processes of a plain service die and the router has not detected it yet. A refused connection does not
// count as an attempt, since the process never received the call: with attempts = 1 the call still reaches the process
// that is left. A non-idempotent call does so too, and runs once.
func TestCallSkipsUnreachableServices(t *testing.T) {
	f := startFleetWithLimits(t, 0, 6, "attempts = 1\n")
	for i := range 5 {
		f.KillService(fmt.Sprintf("service-%02d", i+1))
	}
	for _, path := range []string{"/permits/list", fleet.NonIdempotentPath} {
		resp, err := post(t.Context(), f, path, "x")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, f.Service("service-06").RunCounts()[""], 2)
}
