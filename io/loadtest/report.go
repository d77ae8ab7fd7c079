package loadtest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of one run. Knowable tokens are the prompt tokens that a single prefix cache as large as the
// caches of all engines together would have found; found tokens are those that the engines found in their caches.
type Report struct {
	Policy                 string             `json:"policy"`
	CacheReuse             float64            `json:"cacheReuse"`
	FoundTokens            int64              `json:"foundTokens"`
	KnowableTokens         int64              `json:"knowableTokens"`
	PromptTokens           int64              `json:"promptTokens"`
	Skew                   Skew               `json:"skew"`
	TokenSkew              Skew               `json:"tokenSkew"`
	SkewWindows            int                `json:"skewWindows"`
	ControlBytesPerSecond  map[string]float64 `json:"controlBytesPerSecond"`
	ControlBytesSum        float64            `json:"controlBytesSum"`
	FirstTokenMs           Percentiles        `json:"firstTokenMs"`
	ShortMs                Percentiles        `json:"shortMs"`
	OthersFirstTokenMs     Percentiles        `json:"othersFirstTokenMs"`
	BetweenTokensMs        Percentiles        `json:"betweenTokensMs"`
	Requests               int                `json:"requests"`
	Complete               int                `json:"whole"`
	GoodputTokensPerSecond float64            `json:"goodputTokensPerSecond"`
	Errors                 map[string]int     `json:"errors"`
	Truncated              int                `json:"answersCut"`
	Incorrect              int                `json:"answersWrong"`
	Calls                  int                `json:"calls"`
	DuplicatesRun          int                `json:"duplicatesRun"`
	AttemptsPerRequest     float64            `json:"attemptsPerRequest"`
	// Crashes is the number of engines that crashed under chats that were sent again and again.
	Crashes int `json:"crashes"`
}

// Skew summarizes the ratio of the busiest engine's load to the mean load of all engines, over windows of one second.
type Skew struct {
	Worst float64 `json:"worst"`
	P99   float64 `json:"p99"`
	P50   float64 `json:"p50"`
}

// Percentiles holds percentiles of a latency in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// stats collects the measurements of a run.
type stats struct {
	mu               sync.Mutex
	report           Report
	firstToken       *hdrhistogram.Histogram
	othersFirstToken *hdrhistogram.Histogram
	shortAnswers     *hdrhistogram.Histogram
	betweenTokens    *hdrhistogram.Histogram
	outputTokens     int64
	requestSkews     []float64
	tokenSkews       []float64
	windows          []windowStats
}

// windowStats holds one row of the CSV file, for a window of one second. Counters are totals since the end of the
// warm-up.
type windowStats struct {
	elapsedSeconds       float64
	requestSkew          float64
	tokenSkew            float64
	outstandingPerEngine float64
	complete             int
	incomplete           int
	foundTokens          int64
	knowableTokens       int64
	firstTokenP95Ms      float64
}

const (
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	precision = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, precision) }

func newStats() *stats {
	st := &stats{firstToken: newHistogram(), othersFirstToken: newHistogram(), shortAnswers: newHistogram(), betweenTokens: newHistogram()}
	st.report.Errors = map[string]int{}
	return st
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func summarizeSkew(ratios []float64) (s Skew) {
	if len(ratios) == 0 {
		return s
	}
	sorted := slices.Sorted(slices.Values(ratios))
	quantile := func(q float64) float64 { return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)] }
	return Skew{Worst: sorted[len(sorted)-1], P99: quantile(0.99), P50: quantile(0.5)}
}

func (st *stats) finalize(took time.Duration) *Report {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := &st.report
	r.FirstTokenMs = percentiles(st.firstToken)
	r.OthersFirstTokenMs = percentiles(st.othersFirstToken)
	r.ShortMs = percentiles(st.shortAnswers)
	r.BetweenTokensMs = percentiles(st.betweenTokens)
	r.Skew, r.TokenSkew = summarizeSkew(st.requestSkews), summarizeSkew(st.tokenSkews)
	r.SkewWindows = len(st.requestSkews)
	r.GoodputTokensPerSecond = float64(st.outputTokens) / took.Seconds()
	if r.KnowableTokens > 0 {
		r.CacheReuse = float64(r.FoundTokens) / float64(r.KnowableTokens)
	}
	return r
}

// Text formats the report for people.
func (r *Report) Text() (text string) {
	text = fmt.Sprintf("policy %s: %d requests, %d complete, %d truncated, %d incorrect, %d calls, %d duplicates run\n", r.Policy, r.Requests, r.Complete,
		r.Truncated, r.Incorrect, r.Calls, r.DuplicatesRun)
	text += fmt.Sprintf("  cacheReuse %.3f (%d of %d knowable tokens, %d prompt tokens)\n", r.CacheReuse, r.FoundTokens, r.KnowableTokens, r.PromptTokens)
	text += fmt.Sprintf("  skew requests worst %.2f p99 %.2f p50 %.2f; tokens worst %.2f p99 %.2f p50 %.2f (%d windows)\n",
		r.Skew.Worst, r.Skew.P99, r.Skew.P50, r.TokenSkew.Worst, r.TokenSkew.P99, r.TokenSkew.P50, r.SkewWindows)
	text += fmt.Sprintf("  control %.0f B/s:", r.ControlBytesSum)
	for _, k := range slices.Sorted(maps.Keys(r.ControlBytesPerSecond)) {
		text += fmt.Sprintf(" %s %.0f", k, r.ControlBytesPerSecond[k])
	}
	text += fmt.Sprintf("\n  first token ms p50 %.1f p95 %.1f p99 %.1f; short answers ms p50 %.1f p95 %.1f; between tokens ms p95 %.1f\n",
		r.FirstTokenMs.P50, r.FirstTokenMs.P95, r.FirstTokenMs.P99, r.ShortMs.P50, r.ShortMs.P95, r.BetweenTokensMs.P95)
	return text + fmt.Sprintf("  first token of accounts without surge ms p95 %.1f; %.3f attempts per request; goodput %.0f tokens/s, errors %v\n",
		r.OthersFirstTokenMs.P95, r.AttemptsPerRequest, r.GoodputTokensPerSecond, r.Errors)
}
