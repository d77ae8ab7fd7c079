package dispatch

import "time"

// Metrics are the quantities that users judge the router by: how much of the prompts was cached where they were sent,
// and how even the load is.
type Metrics struct {
	// PromptTokens counts the tokens of all prompts sent, CachedTokens those of them that the engine was estimated to
	// have cached.
	PromptTokens, CachedTokens uint64
	// MaxOverMean is the load of the busiest endpoint over the mean of its service: the maximum over all services with
	// a load of at least one request an endpoint, 0 if there is none.
	MaxOverMean float64
	// Endpoints is how many endpoints may get work, Failing how many of them fail at least every fourth attempt.
	Endpoints, Failing int
	// Silent is how many of them get no requests because they did not answer.
	Silent int
	// Paused is how many endpoints get no requests because they asked for a pause.
	Paused int
	// FullFor is the longest time for which a rank of any service has had its requests refused.
	FullFor time.Duration
	// LoadReportAge is the time since the hub last reported the other routers' loads.
	LoadReportAge time.Duration
	// Slow is how many endpoints are believed to be slower than slowThreshold.
	Slow int
	// DistrustedReports counts how many times the reports of an endpoint's speed have become distrusted.
	DistrustedReports uint64
}

// failingThreshold is the failure rate from which an endpoint counts as failing.
const failingThreshold = 0.25

// slowThreshold is the factor from which an endpoint counts as slow.
const slowThreshold = 1.5

// CurrentMetrics returns the current metrics.
func (d *Dispatcher) CurrentMetrics(now time.Time) (m Metrics) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.PromptTokens, m.CachedTokens, m.Endpoints = d.promptTokens, d.cachedTokens, len(d.byID)
	m.LoadReportAge = d.loadReportAge(now)
	m.DistrustedReports = d.distrustedReports
	for _, pool := range d.pools {
		m.MaxOverMean = max(m.MaxOverMean, maxOverMean(pool, now))
		for _, e := range pool {
			if e.failureRate(now) >= failingThreshold {
				m.Failing++
			}
			if e.breaker.isOpen(now) {
				m.Silent++
			}
			if e.pause.active(now) {
				m.Paused++
			}
			if e.slowdown(now) >= slowThreshold {
				m.Slow++
			}
		}
	}
	for _, asked := range d.demands {
		for rank := range asked.levels {
			m.FullFor = max(m.FullFor, asked.fullFor(rank, now))
		}
	}
	return m
}

// LoadReportAge returns the time since the hub last reported the other routers' loads, 0 before the first report.
func (d *Dispatcher) LoadReportAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadReportAge(now)
}

func (d *Dispatcher) loadReportAge(now time.Time) time.Duration {
	if d.othersAt.IsZero() {
		return 0
	}
	return now.Sub(d.othersAt)
}

func maxOverMean(pool []*endpoint, now time.Time) float64 {
	sum, most := 0.0, 0.0
	for _, e := range pool {
		sum += e.load(now)
		most = max(most, e.load(now))
	}
	if sum < float64(len(pool)) {
		return 0
	}
	return most * float64(len(pool)) / sum
}
