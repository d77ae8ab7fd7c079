package load

import (
	"context"
	"time"

	"savoryfall/io/meter"
)

const (
	samplePeriod = 100 * time.Millisecond
	windowSize   = 10
	// fullEnough is how many requests an engine must hold on average for a window to count for the skew: with few,
	// one request alone is far over any mean.
	fullEnough = 20
)

// window adds up the samples of one second, by engine.
type window struct {
	requests map[string]float64
	tokens   map[string]float64
	samples  int
}

func newWindow() *window {
	return &window{requests: map[string]float64{}, tokens: map[string]float64{}}
}

// sample looks at the engines themselves, as no router can, ten times a second.
func (r *Run) sample(ctx context.Context) {
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	w := newWindow()
	marked := false
	for {
		select {
		case <-ctx.Done():
			r.control()
			return
		case <-tick.C:
			if !marked && r.measured() {
				r.markControl()
				marked = true
			}
			r.look(w)
			if w.samples == windowSize {
				r.close(w)
				w = newWindow()
			}
		}
	}
}

func (r *Run) look(w *window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.fleet.Engines() {
		if _, gone := r.leaving[name]; gone {
			continue
		}
		t := e.Truth()
		w.requests[name] += float64(t.Requests)
		w.tokens[name] += float64(t.Outstanding)
	}
	w.samples++
}

func (r *Run) close(w *window) {
	skew, mean := overMean(w.requests)
	tokenSkew, _ := overMean(w.tokens)
	f := r.figures
	f.mu.Lock()
	defer f.mu.Unlock()
	s := second{
		at: time.Since(r.began).Seconds(), requestSkew: skew, tokenSkew: tokenSkew, outstanding: mean / windowSize,
		whole: f.report.Whole, errors: f.report.Requests - f.report.Whole, found: f.report.FoundTokens,
		knowable: f.report.KnowableTokens, firstP95Ms: percentiles(f.first).P95,
	}
	f.seconds = append(f.seconds, s)
	if r.measured() && mean/windowSize >= fullEnough {
		f.reqSkew = append(f.reqSkew, skew)
		f.tokSkew = append(f.tokSkew, tokenSkew)
	}
}

func overMean(by map[string]float64) (skew, mean float64) {
	busiest := 0.0
	for _, v := range by {
		busiest = max(busiest, v)
		mean += v / float64(len(by))
	}
	if mean == 0 {
		return 1, 0
	}
	return busiest / mean, mean
}

func (r *Run) readControl() (by map[string]map[string]uint64) {
	by = map[string]map[string]uint64{}
	for _, router := range r.fleet.Routers() {
		kinds := map[string]uint64{}
		for _, k := range meter.Kinds {
			sent, received := router.Meter().Bytes(k)
			kinds[string(k)] = sent + received
		}
		by[router.Callers()] = kinds
	}
	return by
}

func (r *Run) markControl() {
	r.baseline = r.readControl()
	r.attempts = r.readAttempts()
}

func (r *Run) readAttempts() (n uint64) {
	for _, router := range r.fleet.Routers() {
		n += router.Attempts()
	}
	return n
}

// control reports the router that spent most.
func (r *Run) control() {
	seconds := (r.plan.Duration - r.plan.Warmup).Seconds()
	r.figures.mu.Lock()
	defer r.figures.mu.Unlock()
	report := &r.figures.report
	asked := float64(report.Requests + report.Calls)
	report.AttemptsPerRequest = float64(r.readAttempts()-r.attempts) / max(asked, 1)
	for name, kinds := range r.readControl() {
		rates, sum := map[string]float64{}, 0.0
		for k, n := range kinds {
			rates[k] = float64(n-r.baseline[name][k]) / seconds
			sum += rates[k]
		}
		if sum > report.ControlBytesSum {
			report.ControlBytesSum, report.ControlBytesPerSecond = sum, rates
		}
	}
}
