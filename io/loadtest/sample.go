package loadtest

import (
	"context"
	"time"

	"savoryfall/io/traffic"
)

const (
	samplePeriod     = 100 * time.Millisecond
	samplesPerWindow = 10
	// minMeanRequests is the minimum mean number of requests per engine for a window to count for the skew. With fewer,
	// a single request on one engine is far above the mean.
	minMeanRequests = 20
)

// window sums the load samples of one second by engine.
type window struct {
	requests map[string]float64
	tokens   map[string]float64
	samples  int
}

func newWindow() *window {
	return &window{requests: map[string]float64{}, tokens: map[string]float64{}}
}

// sample reads the actual load, which no router knows, from the engines ten times a second. At the end of the run it
// records the control traffic.
func (r *Run) sample(ctx context.Context) {
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	w := newWindow()
	baselineRecorded := false
	for {
		select {
		case <-ctx.Done():
			r.finishControl()
			return
		case <-tick.C:
			if !baselineRecorded && r.warmedUp() {
				r.recordBaseline()
				baselineRecorded = true
			}
			r.takeSample(w)
			if w.samples == samplesPerWindow {
				r.closeWindow(w)
				w = newWindow()
			}
		}
	}
}

func (r *Run) takeSample(w *window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.fleet.Engines() {
		if _, skip := r.excluded[name]; skip {
			continue
		}
		t := e.ActualState()
		w.requests[name] += float64(t.Requests)
		w.tokens[name] += float64(t.Outstanding)
	}
	w.samples++
}

func (r *Run) closeWindow(w *window) {
	skew, mean := busiestOverMean(w.requests)
	tokenSkew, _ := busiestOverMean(w.tokens)
	st := r.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	s := windowStats{
		elapsedSeconds: time.Since(r.started).Seconds(), requestSkew: skew, tokenSkew: tokenSkew, outstandingPerEngine: mean / samplesPerWindow,
		complete: st.report.Complete, incomplete: st.report.Requests - st.report.Complete, foundTokens: st.report.FoundTokens,
		knowableTokens: st.report.KnowableTokens, firstTokenP95Ms: percentiles(st.firstToken).P95,
	}
	st.windows = append(st.windows, s)
	if r.warmedUp() && mean/samplesPerWindow >= minMeanRequests {
		st.requestSkews = append(st.requestSkews, skew)
		st.tokenSkews = append(st.tokenSkews, tokenSkew)
	}
}

func busiestOverMean(values map[string]float64) (skew, mean float64) {
	busiest := 0.0
	for _, v := range values {
		busiest = max(busiest, v)
		mean += v / float64(len(values))
	}
	if mean == 0 {
		return 1, 0
	}
	return busiest / mean, mean
}

func (r *Run) controlBytes() (byRouter map[string]map[string]uint64) {
	byRouter = map[string]map[string]uint64{}
	for _, router := range r.fleet.Routers() {
		byKind := map[string]uint64{}
		for _, k := range traffic.AllKinds {
			sent, received := router.Meter().Bytes(k)
			byKind[string(k)] = sent + received
		}
		byRouter[router.CallerAddress()] = byKind
	}
	return byRouter
}

func (r *Run) recordBaseline() {
	r.controlBaseline = r.controlBytes()
	r.attemptsBaseline = r.totalAttempts()
}

func (r *Run) totalAttempts() (n uint64) {
	for _, router := range r.fleet.Routers() {
		n += router.AttemptCount()
	}
	return n
}

// finishControl records the attempts per request, and the control traffic of the router that used the most.
func (r *Run) finishControl() {
	seconds := (r.plan.Duration - r.plan.Warmup).Seconds()
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	report := &r.stats.report
	requests := float64(report.Requests + report.Calls)
	report.AttemptsPerRequest = float64(r.totalAttempts()-r.attemptsBaseline) / max(requests, 1)
	for name, byKind := range r.controlBytes() {
		rates, sum := map[string]float64{}, 0.0
		for k, n := range byKind {
			rates[k] = float64(n-r.controlBaseline[name][k]) / seconds
			sum += rates[k]
		}
		if sum > report.ControlBytesSum {
			report.ControlBytesSum, report.ControlBytesPerSecond = sum, rates
		}
	}
}
