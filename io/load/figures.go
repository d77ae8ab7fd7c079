package load

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what one run showed.
type Report struct {
	Policy                string             `json:"policy"`
	CacheReuse            float64            `json:"cacheReuse"`
	FoundTokens           int64              `json:"foundTokens"`
	KnowableTokens        int64              `json:"knowableTokens"`
	PromptTokens          int64              `json:"promptTokens"`
	Skew                  Skew               `json:"skew"`
	TokenSkew             Skew               `json:"tokenSkew"`
	SkewWindows           int                `json:"skewWindows"`
	ControlBytesPerSecond map[string]float64 `json:"controlBytesPerSecond"`
	ControlBytesSum       float64            `json:"controlBytesSum"`
	FirstTokenMs          Percentiles        `json:"firstTokenMs"`
	ShortMs               Percentiles        `json:"shortMs"`
	OthersFirstTokenMs    Percentiles        `json:"othersFirstTokenMs"`
	BetweenTokensMs       Percentiles        `json:"betweenTokensMs"`
	Requests              int                `json:"requests"`
	Whole                 int                `json:"whole"`
	GoodputTokensPerS     float64            `json:"goodputTokensPerSecond"`
	Errors                map[string]int     `json:"errors"`
	Cut                   int                `json:"answersCut"`
	Wrong                 int                `json:"answersWrong"`
	Calls                 int                `json:"calls"`
	RunTwice              int                `json:"duplicatesRun"`
	AttemptsPerRequest    float64            `json:"attemptsPerRequest"`
}

// Skew is the busiest engine over the mean of all, in windows of one second.
type Skew struct {
	Worst float64 `json:"worst"`
	P99   float64 `json:"p99"`
	P50   float64 `json:"p50"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// figures collects over a run.
type figures struct {
	mu      sync.Mutex
	report  Report
	first   *hdrhistogram.Histogram
	others  *hdrhistogram.Histogram
	short   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	tokens  int64
	reqSkew []float64
	tokSkew []float64
	seconds []second
}

// second is one window of the run, as it goes to the CSV file.
type second struct {
	at          float64
	requestSkew float64
	tokenSkew   float64
	outstanding float64
	whole       int
	errors      int
	found       int64
	knowable    int64
	firstP95Ms  float64
}

const (
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, digits) }

func newFigures() *figures {
	f := &figures{first: newHistogram(), others: newHistogram(), short: newHistogram(), between: newHistogram()}
	f.report.Errors = map[string]int{}
	return f
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func skewOf(list []float64) (s Skew) {
	if len(list) == 0 {
		return s
	}
	sorted := slices.Sorted(slices.Values(list))
	at := func(q float64) float64 { return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)] }
	return Skew{Worst: sorted[len(sorted)-1], P99: at(0.99), P50: at(0.5)}
}

func (f *figures) finish(took time.Duration) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.report
	r.FirstTokenMs = percentiles(f.first)
	r.OthersFirstTokenMs = percentiles(f.others)
	r.ShortMs = percentiles(f.short)
	r.BetweenTokensMs = percentiles(f.between)
	r.Skew, r.TokenSkew = skewOf(f.reqSkew), skewOf(f.tokSkew)
	r.SkewWindows = len(f.reqSkew)
	r.GoodputTokensPerS = float64(f.tokens) / took.Seconds()
	if r.KnowableTokens > 0 {
		r.CacheReuse = float64(r.FoundTokens) / float64(r.KnowableTokens)
	}
	return r
}

// Text is the report for people, one figure a line.
func (r *Report) Text() (text string) {
	text = fmt.Sprintf("policy %s: %d requests, %d whole, %d cut, %d wrong, %d calls, %d run twice\n", r.Policy, r.Requests, r.Whole,
		r.Cut, r.Wrong, r.Calls, r.RunTwice)
	text += fmt.Sprintf("  cacheReuse %.3f (%d of %d knowable tokens, %d prompt tokens)\n", r.CacheReuse, r.FoundTokens, r.KnowableTokens, r.PromptTokens)
	text += fmt.Sprintf("  skew requests worst %.2f p99 %.2f p50 %.2f; tokens worst %.2f p99 %.2f p50 %.2f (%d windows)\n",
		r.Skew.Worst, r.Skew.P99, r.Skew.P50, r.TokenSkew.Worst, r.TokenSkew.P99, r.TokenSkew.P50, r.SkewWindows)
	text += fmt.Sprintf("  control %.0f B/s:", r.ControlBytesSum)
	for _, k := range slices.Sorted(maps.Keys(r.ControlBytesPerSecond)) {
		text += fmt.Sprintf(" %s %.0f", k, r.ControlBytesPerSecond[k])
	}
	text += fmt.Sprintf("\n  first token ms p50 %.1f p95 %.1f p99 %.1f; short answers ms p50 %.1f p95 %.1f; between tokens ms p95 %.1f\n",
		r.FirstTokenMs.P50, r.FirstTokenMs.P95, r.FirstTokenMs.P99, r.ShortMs.P50, r.ShortMs.P95, r.BetweenTokensMs.P95)
	return text + fmt.Sprintf("  others' first token ms p95 %.1f; %.3f attempts a request; goodput %.0f tokens/s, errors %v\n",
		r.OthersFirstTokenMs.P95, r.AttemptsPerRequest, r.GoodputTokensPerS, r.Errors)
}
