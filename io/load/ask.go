package load

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

// answer is what came of one request.
type answer struct {
	text    string
	whole   bool
	status  int
	outcome string
	found   int
	first   time.Duration
	gaps    []time.Duration
	ticket  string
}

// ask sends one chat's request, checks the answer word by word, and lets the chat rest.
func (r *Run) ask(ctx context.Context, c *chat) {
	messages := encode(c.messages)
	prompt, knowable := r.shadow.Ask(messages)
	began := time.Now()
	a, err := r.send(context.WithoutCancel(ctx), c, messages)
	took := time.Since(began)
	if a.whole {
		r.shadow.Keep(encode(append(c.messages, message{Role: "assistant", Content: a.text})))
	}
	r.count(c, a, err, prompt, knowable, took, messages)
	if !a.whole {
		return
	}
	if c.keeps {
		c.ticket = a.ticket
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.people.rest(c, a.text, time.Now())
}

const model = "sur-large"

func (r *Run) send(ctx context.Context, c *chat, messages []byte) (a answer, err error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":%s}`, model, messages)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.router(random).Callers()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Key(accountName(c.account)))
	if c.ticket != "" {
		req.Header.Set(header.Ticket, c.ticket)
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	a.status, a.outcome = resp.StatusCode, resp.Header.Get(header.Outcome)
	a.ticket = resp.Header.Get(header.Ticket)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return a, nil
	}
	return a, a.read(resp.Body, began)
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

func (a *answer) read(body io.Reader, began time.Time) (err error) {
	var text strings.Builder
	last := began
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		now := time.Now()
		if a.first == 0 {
			a.first = now.Sub(began)
		} else {
			a.gaps = append(a.gaps, now.Sub(last))
		}
		last = now
		if ev.Data == "[DONE]" {
			a.whole = true
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
			return err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if c.Usage != nil {
			a.found = c.Usage.Details.CachedTokens
		}
	}
	a.text = text.String()
	return nil
}

func (r *Run) count(c *chat, a answer, err error, prompt, knowable int, took time.Duration, messages []byte) {
	wrong := a.whole && a.text != engine.Answer(messages)
	f := r.figures
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.measured() {
		return
	}
	f.report.Requests++
	switch {
	case a.whole:
		f.report.Whole++
		f.report.PromptTokens += int64(prompt)
		f.report.FoundTokens += int64(min(a.found, prompt))
		f.report.KnowableTokens += int64(knowable)
		f.tokens += int64(len(a.text) / bytesPerToken)
		f.time(r, c, a, took)
		if wrong {
			f.report.Wrong++
		}
	case a.status == http.StatusOK:
		f.report.Cut++
		f.report.Errors["cut"]++
	case err != nil:
		f.report.Errors["connection"]++
	default:
		f.report.Errors[strconv.Itoa(a.status)+" "+a.outcome]++
	}
}

// time records latencies; those of accounts that surge are kept apart from the others'.
func (f *figures) time(r *Run, c *chat, a answer, took time.Duration) {
	record(f.first, a.first)
	surges := false
	for _, s := range r.plan.Surges {
		surges = surges || s.Account == c.account+1
	}
	if !surges {
		record(f.others, a.first)
	}
	if !c.long {
		record(f.short, took)
	}
	for _, gap := range a.gaps {
		record(f.between, gap)
	}
}

// callServices calls what may run only once, and repeats a call by its key where the outcome says that it may be.
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
		r.requests.Go(func() { r.callOnce(context.WithoutCancel(ctx), key) })
	}
}

const callTries = 3

// callOnce repeats a call as an impatient client would, through another router, whatever it was told.
func (r *Run) callOnce(ctx context.Context, key string) {
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(len(key))))
	told := ""
	for range callTries {
		var err error
		told, err = r.callService(ctx, r.router(random).Callers(), key)
		if err == nil && told == "ran" {
			break
		}
	}
	r.figures.mu.Lock()
	defer r.figures.mu.Unlock()
	r.figures.report.Calls++
	if told != "ran" {
		r.figures.report.Errors["call "+told]++
	}
}

func (r *Run) callService(ctx context.Context, address, key string) (told string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+fleet.NonIdempotentPath, strings.NewReader("permit"))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Key(accountName(0)))
	req.Header.Set(header.Idempotency, key)
	resp, err := r.client.Do(req)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(header.Outcome), errors.Join(err, resp.Body.Close())
}
