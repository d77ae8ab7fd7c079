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

func fleetOf(t *testing.T, engines, services int, limits string) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Routers: 1, Engines: engines, Services: services, Extra: map[string]string{
		"peers": quick, "callers": "lameDuck = \"0s\"\n", "routing": "probePeriod = \"200ms\"\n", "limits": limits,
	}})
}

func eventually(t *testing.T, what string, true func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if true() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func switchAll(f *fleet.Fleet, faults engine.Faults) {
	for _, e := range f.Engines() {
		e.Set(faults)
	}
}

// stream asks for a streamed completion and returns all lines of its body.
func stream(ctx context.Context, f *fleet.Fleet, text string) (lines []string, err error) {
	resp, err := post(ctx, f, "/v1/chat/completions", fmt.Sprintf(
		`{"model":"sur-large","stream":true,"messages":[{"role":"user","content":%q}]}`, text))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		lines = append(lines, in.Text())
	}
	return lines, in.Err()
}

func post(ctx context.Context, f *fleet.Fleet, path, body string) (resp *http.Response, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Routers()[0].Callers()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+fleet.Key("guardia"))
	return http.DefaultClient.Do(r)
}

// complete asks by the OpenAI client and returns the text.
func complete(t *testing.T, f *fleet.Fleet, text string) string {
	t.Helper()
	got, err := completed(t.Context(), f, text)
	assert.NilError(t, err)
	return got
}

func completed(ctx context.Context, f *fleet.Fleet, text string) (got string, err error) {
	c := client(f, 0)
	s := c.Chat.Completions.NewStreaming(ctx, params(text))
	id := ""
	for s.Next() {
		if id == "" {
			id = s.Current().ID
		}
		if s.Current().ID != id {
			return got, fmt.Errorf("the id changes from %s to %s", id, s.Current().ID)
		}
		for _, choice := range s.Current().Choices {
			got += choice.Delta.Content
		}
	}
	return got, s.Err()
}

func want(text string) string {
	return engine.Answer(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, text))
}

// The caller sees its own whole answer. The engine's first answer carries the id of somebody else's attempt, as when
// answers cross on a connection; it is dropped, its connection is closed, and another engine is asked.
func TestCrossedAnswerIsDropped(t *testing.T) {
	f := fleetOf(t, 3, 0, "")
	f.Engine("engine-01").Set(engine.Faults{CrossNext: 1})
	f.Engine("engine-02").Set(engine.Faults{CrossNext: 1})
	for i := range 6 {
		text := fmt.Sprintf("crossed %d #20", i)
		assert.Equal(t, complete(t, f, text), want(text))
	}
}

// The caller sees its own whole answer, and so does the next one. The engine is slower than the timeout; its late
// answer comes while the next request is under way, and must not be taken for that one's.
func TestLateAnswerIsDropped(t *testing.T) {
	f := fleetOf(t, 2, 0, "firstToken = \"100ms\"\n")
	for name, e := range f.Engines() {
		if name == "engine-01" {
			e.Set(engine.Faults{LateMs: 300})
		}
	}
	for i := range 8 {
		text := fmt.Sprintf("late %d #8", i)
		assert.Equal(t, complete(t, f, text), want(text))
	}
}

// The caller sees one stream without a gap, under one id. The engine dies after a few tokens; another is asked to go
// on after the text that the caller has already.
func TestStreamSurvivesItsEngine(t *testing.T) {
	for _, fault := range []struct {
		name   string
		faults engine.Faults
	}{
		{"dies", engine.Faults{DieNext: 1, DieAfterTokens: 7}},
		{"dies at the first token", engine.Faults{DieNext: 1, DieAfterTokens: 1}},
		{"ends without its mark", engine.Faults{TruncateNext: 1, DieAfterTokens: 7}},
		{"drops the request", engine.Faults{DropNext: 1}},
		{"fails", engine.Faults{FailNext: 1}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			f := fleetOf(t, 4, 0, "")
			f.Engine("engine-01").Set(fault.faults)
			f.Engine("engine-02").Set(fault.faults)
			for i := range 6 {
				text := fmt.Sprintf("long %d #40", i)
				assert.Equal(t, complete(t, f, text), want(text))
			}
		})
	}
}

// The caller sees an error event and no end mark, so that it cannot take the part for the whole. Every engine dies in
// the middle of the stream.
func TestStreamThatCannotBeSavedEndsInAnError(t *testing.T) {
	f := fleetOf(t, 2, 0, "")
	switchAll(f, engine.Faults{DieNext: 9, DieAfterTokens: 3})
	lines, err := stream(t.Context(), f, "doomed #40")
	assert.NilError(t, err)
	whole := strings.Join(lines, "\n")
	assert.Assert(t, strings.Contains(whole, `"outcome":"unknown"`), whole)
	assert.Assert(t, !strings.Contains(whole, "[DONE]"), whole)
}

// The caller hangs up in the middle of a stream. The engine's work on it ends, and nothing is left on the books.
func TestHangingUpCancelsTheEngine(t *testing.T) {
	f := fleetOf(t, 1, 0, "")
	ctx, hangUp := context.WithCancel(t.Context())
	resp, err := post(ctx, f, "/v1/chat/completions",
		`{"model":"sur-large","stream":true,"messages":[{"role":"user","content":"endless #20000"}]}`)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, 64))
	assert.NilError(t, err)
	hangUp()
	eventually(t, "the engine is idle", func() bool { return f.Engine("engine-01").Truth().Requests == 0 })
}

// The caller of a plain service is told what is true: notRun for a refusal everywhere, unknown when the service had
// the call and broke off, and never half an answer as if it were whole.
func TestPlainServiceFailuresAreToldTruly(t *testing.T) {
	for _, given := range []struct {
		name   string
		faults plainservice.Faults
		told   string
	}{
		{"refuses", plainservice.Faults{Refuse: true}, "notRun"},
		{"breaks off before", plainservice.Faults{DropBefore: 9}, "unknown"},
		{"breaks off after", plainservice.Faults{DropAfter: 9}, "unknown"},
		{"crosses", plainservice.Faults{CrossNext: 9}, "unknown"},
	} {
		t.Run(given.name, func(t *testing.T) {
			f := fleetOf(t, 0, 2, "")
			for _, s := range f.Services() {
				s.Set(given.faults)
			}
			resp, err := post(t.Context(), f, fleet.NotRepeatable, "permit")
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.Header.Get(header.Outcome), given.told, "%s", body)
			ran := 0
			for _, s := range f.Services() {
				ran += s.Ran()[""]
			}
			assert.Assert(t, ran <= 1, "ran %d times", ran)
			assert.Assert(t, given.told != "notRun" || ran == 0)
		})
	}
}

// The caller sees its connection break, not a short answer that looks whole: with a length that is not kept, and with
// none, where only the end of the chunks tells.
func TestBrokenAnswerIsCut(t *testing.T) {
	f := fleetOf(t, 0, 1, "")
	for _, faults := range []plainservice.Faults{{ShortAnswer: 1}, {DropMiddle: 1}} {
		f.Service("service-01").Set(faults)
		resp, err := post(t.Context(), f, "/permits/list", "x")
		assert.NilError(t, err)
		var got bytes.Buffer
		_, err = got.ReadFrom(resp.Body)
		assert.Check(t, resp.Body.Close())
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v after %q", err, got.String())
	}
}

// Five of six processes of a plain service are gone before anybody has noticed. A call meets several of them in a row,
// none of which had it, and is answered by the one that is left although it may be tried at one only; a call that may
// not be repeated as well, and runs once.
func TestDeadServicesCostACallNothing(t *testing.T) {
	f := fleetOf(t, 0, 6, "attempts = 1\n")
	for i := range 5 {
		f.KillService(fmt.Sprintf("service-%02d", i+1))
	}
	for _, path := range []string{"/permits/list", fleet.NotRepeatable} {
		resp, err := post(t.Context(), f, path, "x")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, f.Service("service-06").Ran()[""], 2)
}
