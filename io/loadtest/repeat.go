package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"savoryfall/core/loadplan"
	"savoryfall/io/fleet"
)

// repeat sends one chat again and again that crashes each engine, at any router, and lets the engines come back.
func (r *Run) repeat(ctx context.Context, c loadplan.Repeat) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	text := fmt.Sprint("crash at ", c.At)
	for name := range r.fleet.Engines() {
		r.crashOn(ctx, name, text, c.Down)
	}
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(c.At)))
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, modelName, text)
	for ctx.Err() == nil {
		_ = r.sendRepeated(ctx, random, body)
		select {
		case <-ctx.Done():
		case <-time.After(c.Pause):
		}
	}
}

func (r *Run) sendRepeated(ctx context.Context, random *rand.Rand, body string) (err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.randomRouter(random).CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey(accountName(0)))
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// crashOn makes an engine crash on the text, each time that it is back, until the context ends.
func (r *Run) crashOn(ctx context.Context, name, text string, down time.Duration) {
	var once sync.Once
	r.fleet.Engine(name).CrashOn(text, func() {
		once.Do(func() {
			r.stats.addCrash()
			go r.restart(context.WithoutCancel(ctx), name, down, func() {
				if ctx.Err() == nil {
					r.crashOn(ctx, name, text, down)
				}
			})
		})
	})
}

// restart kills an engine and starts it again after the time.
func (r *Run) restart(ctx context.Context, name string, down time.Duration, then func()) {
	address := r.fleet.KillEngine(name)
	r.setExcluded(name, true)
	<-time.After(down)
	if r.fleet.StartEngine(ctx, name, address) == nil {
		r.setExcluded(name, false)
		then()
	}
}

func (s *stats) addCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Crashes++
}
