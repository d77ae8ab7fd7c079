package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"savoryfall/core/header"
	"savoryfall/io/fleet"
	"savoryfall/io/standin/engine"
)

// completion is the result of one completion request; complete is true if the stream ended with [DONE].
type completion struct {
	text        string
	complete    bool
	status      int
	outcome     string
	foundTokens int
	firstToken  time.Duration
	tokenGaps   []time.Duration
	ticket      string
}

// runTurn sends a chat's request, compares the response with the expected text, records the result and, if the response
// was complete, schedules the chat's next turn.
func (r *Run) runTurn(ctx context.Context, c *chat) {
	messages := encodeMessages(c.messages)
	prompt, knowable := r.referenceCache.LookUp(messages)
	began := time.Now()
	result, err := r.requestCompletion(context.WithoutCancel(ctx), c, messages)
	took := time.Since(began)
	if result.complete {
		r.referenceCache.Add(encodeMessages(append(c.messages, message{Role: "assistant", Content: result.text})))
	}
	r.recordTurn(c, result, err, prompt, knowable, took, messages)
	if !result.complete {
		return
	}
	if c.sendsTicket {
		c.ticket = result.ticket
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workload.finishTurn(c, result.text, time.Now())
}

const modelName = "sur-large"

func (r *Run) requestCompletion(ctx context.Context, c *chat, messages []byte) (result completion, err error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":%s}`, modelName, messages)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.randomRouter(random).CallerAddress()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey(accountName(c.account)))
	if c.ticket != "" {
		req.Header.Set(header.Ticket, c.ticket)
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	result.status, result.outcome = resp.StatusCode, resp.Header.Get(header.Outcome)
	result.ticket = resp.Header.Get(header.Ticket)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return result, nil
	}
	return result, result.readStream(resp.Body, began)
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (result *completion) readStream(body io.Reader, began time.Time) (err error) {
	var text strings.Builder
	last := began
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		now := time.Now()
		if result.firstToken == 0 {
			result.firstToken = now.Sub(began)
		} else {
			result.tokenGaps = append(result.tokenGaps, now.Sub(last))
		}
		last = now
		if event.Data == "[DONE]" {
			result.complete = true
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
			return err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if c.Usage != nil {
			result.foundTokens = c.Usage.Details.CachedTokens
		}
	}
	result.text = text.String()
	return nil
}

func (r *Run) recordTurn(c *chat, result completion, err error, prompt, knowable int, took time.Duration, messages []byte) {
	incorrect := result.complete && result.text != engine.ExpectedAnswer(messages)
	st := r.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	if !r.warmedUp() {
		return
	}
	st.report.Requests++
	switch {
	case result.complete:
		st.report.Complete++
		st.report.PromptTokens += int64(prompt)
		st.report.FoundTokens += int64(min(result.foundTokens, prompt))
		st.report.KnowableTokens += int64(knowable)
		st.outputTokens += int64(len(result.text) / bytesPerToken)
		st.recordLatencies(r, c, result, took)
		if incorrect {
			st.report.Incorrect++
		}
	case result.status == http.StatusOK:
		st.report.Truncated++
		st.report.Errors["cut"]++
	case err != nil:
		st.report.Errors["connection"]++
	default:
		st.report.Errors[strconv.Itoa(result.status)+" "+result.outcome]++
	}
}

// recordLatencies records the latencies of a complete response. The first-token latency of accounts without a surge is
// also recorded separately.
func (st *stats) recordLatencies(r *Run, c *chat, result completion, took time.Duration) {
	recordDuration(st.firstToken, result.firstToken)
	surges := false
	for _, s := range r.plan.Surges {
		surges = surges || s.AccountRank == c.account+1
	}
	if !surges {
		recordDuration(st.othersFirstToken, result.firstToken)
	}
	if !c.wantsLongAnswer {
		recordDuration(st.shortAnswers, took)
	}
	for _, gap := range result.tokenGaps {
		recordDuration(st.betweenTokens, gap)
	}
}

// callServices sends non-idempotent calls at the planned rate, each with its own idempotency key.
func (r *Run) callServices(ctx context.Context) {
	if r.plan.Chats.CallsPerSecond == 0 || r.plan.Fleet.Services == 0 {
		return
	}
	random := rand.New(rand.NewPCG(r.plan.Seed, 2))
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / r.plan.Chats.CallsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		key := fmt.Sprint("call-", n)
		r.inFlight.Go(func() { r.callWithRetries(context.WithoutCancel(ctx), key) })
	}
}

const maxCallAttempts = 3

// callWithRetries retries a call under the same key through a random router until its outcome is "ran", whatever
// outcome it got before, as an impatient client would.
func (r *Run) callWithRetries(ctx context.Context, key string) {
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(len(key))))
	outcome := ""
	for range maxCallAttempts {
		var err error
		outcome, err = r.postCall(ctx, r.randomRouter(random).CallerAddress(), key)
		if err == nil && outcome == "ran" {
			break
		}
	}
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	r.stats.report.Calls++
	if outcome != "ran" {
		r.stats.report.Errors["call "+outcome]++
	}
}

func (r *Run) postCall(ctx context.Context, address, key string) (outcome string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+fleet.NonIdempotentPath, strings.NewReader("permit"))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey(accountName(0)))
	req.Header.Set(header.IdempotencyKey, key)
	resp, err := r.client.Do(req)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(header.Outcome), errors.Join(err, resp.Body.Close())
}
