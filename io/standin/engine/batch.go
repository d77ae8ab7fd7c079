package engine

import (
	"slices"
	"sort"
	"time"

	"savoryfall/core/report"
)

// sequence is one request in the engine; its tokens channel holds all it can make, so that a step never waits.
type sequence struct {
	attempt  string
	priority int
	arrived  time.Time
	prompt   []prefix
	cached   int
	prefill  int
	seed     uint64
	made     int
	want     int
	tokens   chan int
	gone     bool
}

func (e *Engine) admit(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.arrived = time.Now()
	e.waiting = append(e.waiting, s)
}

// step moves waiting sequences into the batch by priority, spends the prefill budget and makes tokens.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.Frozen {
		e.fill()
		e.advance()
	}
	e.remember(now)
}

func (e *Engine) fill() {
	e.running = dropGone(e.running)
	e.waiting = dropGone(e.waiting)
	all := slices.Concat(e.running, e.waiting)
	sort.SliceStable(all, func(i, j int) bool { return all[i].priority < all[j].priority })
	n := min(len(all), e.opts.Batch)
	e.running = append([]*sequence{}, all[:n]...)
	e.waiting = append([]*sequence{}, all[n:]...)
}

func dropGone(list []*sequence) (kept []*sequence) {
	for _, s := range list {
		if !s.gone {
			kept = append(kept, s)
		}
	}
	return kept
}

func (e *Engine) advance() {
	budget := e.opts.PrefillTokens
	for _, s := range e.running {
		if s.prefill > 0 {
			spent := min(s.prefill, budget)
			s.prefill -= spent
			budget -= spent
			if s.prefill > 0 {
				continue
			}
			e.publish(e.cache.put(s.prompt))
		}
		e.emit(s)
	}
}

func (e *Engine) emit(s *sequence) {
	n := min(e.opts.TokensPerStep, s.want-s.made)
	for range n {
		s.tokens <- s.made
		s.made++
	}
	if s.made >= s.want {
		close(s.tokens)
		s.gone = true
	}
}

func (e *Engine) leave(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.gone = true
}

const rememberedReports = 512

// remember keeps reports for a while, because what the engine tells lags behind what it does.
func (e *Engine) remember(now time.Time) {
	e.past = append(e.past, pastReport{at: now, r: e.current()})
	if len(e.past) > rememberedReports {
		e.past = e.past[1:]
	}
}

func (e *Engine) current() (r report.Report) {
	r.Incarnation = e.incarnation
	r.Fence = e.fence
	for _, s := range e.running {
		if !s.gone {
			r.Running++
			r.Tokens += int64(s.prefill)
		}
	}
	for _, s := range e.waiting {
		if !s.gone {
			r.Waiting++
			r.Tokens += int64(s.prefill)
		}
	}
	return r
}

func (e *Engine) report() (r report.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	r = e.current()
	for i := len(e.past) - 1; i >= 0; i-- {
		r = e.past[i].r
		r.AgeMs = now.Sub(e.past[i].at).Milliseconds()
		if now.Sub(e.past[i].at) >= e.opts.ReportLag {
			break
		}
	}
	r.Leaving = e.faults.Leaving
	return r
}
