package engine

import (
	"slices"
	"sort"
	"time"

	"savoryfall/core/report"
)

// sequence is one request in the engine. Its tokens channel has room for all tokens of the answer, so that a step never
// blocks.
type sequence struct {
	attempt     string
	priority    int
	arrived     time.Time
	prompt      []prefix
	cached      int
	prefillLeft int
	seed        uint64
	generated   int
	length      int
	tokens      chan int
	done        bool
}

func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.arrived = time.Now()
	e.waiting = append(e.waiting, s)
}

// step schedules sequences into the batch by priority, spends the prefill budget and generates tokens.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.Frozen {
		e.schedule()
		e.runBatch()
	}
	e.recordReport(now)
}

func (e *Engine) schedule() {
	e.running = withoutDone(e.running)
	e.waiting = withoutDone(e.waiting)
	all := slices.Concat(e.running, e.waiting)
	sort.SliceStable(all, func(i, j int) bool { return all[i].priority < all[j].priority })
	n := min(len(all), e.opts.BatchSize)
	e.running = append([]*sequence{}, all[:n]...)
	e.waiting = append([]*sequence{}, all[n:]...)
}

func withoutDone(list []*sequence) (kept []*sequence) {
	for _, s := range list {
		if !s.done {
			kept = append(kept, s)
		}
	}
	return kept
}

func (e *Engine) runBatch() {
	budget := e.opts.PrefillTokensPerStep
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			spent := min(s.prefillLeft, budget)
			s.prefillLeft -= spent
			budget -= spent
			if s.prefillLeft > 0 {
				continue
			}
			e.publish(e.cache.add(s.prompt))
		}
		e.generate(s)
	}
}

func (e *Engine) generate(s *sequence) {
	n := min(e.opts.TokensPerStep, s.length-s.generated)
	for range n {
		s.tokens <- s.generated
		s.generated++
	}
	if s.generated >= s.length {
		close(s.tokens)
		s.done = true
	}
}

func (e *Engine) markDone(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.done = true
}

const maxReportHistory = 512

// recordReport keeps a history of reports, because the reports that the engine sends lag behind its state.
func (e *Engine) recordReport(now time.Time) {
	e.reportHistory = append(e.reportHistory, recordedReport{at: now, r: e.currentReport()})
	if len(e.reportHistory) > maxReportHistory {
		e.reportHistory = e.reportHistory[1:]
	}
}

func (e *Engine) currentReport() (r report.Report) {
	r.Incarnation = e.incarnation
	r.Fence = e.fence
	for _, s := range e.running {
		if !s.done {
			r.Running++
			r.Tokens += int64(s.prefillLeft)
		}
	}
	for _, s := range e.waiting {
		if !s.done {
			r.Waiting++
			r.Tokens += int64(s.prefillLeft)
		}
	}
	return r
}

func (e *Engine) report() (r report.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	r = e.currentReport()
	for i := len(e.reportHistory) - 1; i >= 0; i-- {
		r = e.reportHistory[i].r
		r.AgeMs = now.Sub(e.reportHistory[i].at).Milliseconds()
		if now.Sub(e.reportHistory[i].at) >= e.opts.ReportLag {
			break
		}
	}
	r.Leaving = e.faults.Leaving
	return r
}
