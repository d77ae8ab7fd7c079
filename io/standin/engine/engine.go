package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"savoryfall/core/background"
	"savoryfall/core/report"
)

// Options shape one engine; a zero field means its default.
type Options struct {
	Name          string
	Models        []string
	Step          time.Duration
	TokensPerStep int
	Batch         int
	PrefillTokens int
	CacheTokens   int
	ReportLag     time.Duration
	ChecksFence   bool
	WeightStore   string
}

const (
	defaultStep          = 20 * time.Millisecond
	defaultTokensPerStep = 1
	defaultBatch         = 64
	defaultPrefillTokens = 2048
	defaultCacheTokens   = 200_000
	defaultReportLag     = 300 * time.Millisecond
)

// Engine batches continuously over a prefix cache of limited memory.
type Engine struct {
	opts        Options
	incarnation string
	mu          sync.Mutex
	faults      Faults
	cache       *prefixCache
	events      *eventFeed
	waiting     []*sequence
	running     []*sequence
	loaded      map[string]bool
	fence       int64
	orders      int
	past        []pastReport
	served      int
	promptSum   int64
	cachedSum   int64
	busy        chan struct{}
}

type pastReport struct {
	at time.Time
	r  report.Report
}

// New makes an engine with an incarnation of its own and an empty cache.
func New(o Options) *Engine {
	o = withDefaults(o)
	e := &Engine{opts: o, incarnation: uuid.NewString()[:8], loaded: map[string]bool{}, busy: make(chan struct{}, 1)}
	e.cache = newPrefixCache(o.CacheTokens)
	e.events = &eventFeed{}
	for _, m := range o.Models {
		e.loaded[m] = true
	}
	return e
}

func withDefaults(o Options) Options {
	if o.Step == 0 {
		o.Step = defaultStep
	}
	if o.TokensPerStep == 0 {
		o.TokensPerStep = defaultTokensPerStep
	}
	if o.Batch == 0 {
		o.Batch = defaultBatch
	}
	if o.PrefillTokens == 0 {
		o.PrefillTokens = defaultPrefillTokens
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	if o.ReportLag == 0 {
		o.ReportLag = defaultReportLag
	}
	return o
}

// Handler serves the engine's protocol of docs/PLATFORM.md, and PUT /faults.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc("/savoryfall/report", e.serveReport).Methods(http.MethodGet)
	m.HandleFunc("/savoryfall/attempts/{attempt}", e.setPriority).Methods(http.MethodPut)
	m.HandleFunc("/savoryfall/attempts/{attempt}", e.cancel).Methods(http.MethodDelete)
	m.HandleFunc("/savoryfall/kv/{prefix}", e.exportKV).Methods(http.MethodGet)
	m.HandleFunc("/savoryfall/kv/{prefix}", e.importKV).Methods(http.MethodPut)
	m.HandleFunc("/savoryfall/events", e.serveEvents).Methods(http.MethodGet)
	m.HandleFunc("/savoryfall/orders", e.order).Methods(http.MethodPut)
	m.HandleFunc("/faults", e.setFaults).Methods(http.MethodPut)
	m.HandleFunc("/truth", e.serveTruth).Methods(http.MethodGet)
	return m
}

// Run advances the batch until the context ends.
func (e *Engine) Run(ctx context.Context) {
	background.Every(ctx, e.opts.Step, e.step)
}

// Truth is what an all-knowing observer sees; routers have no access to it.
type Truth struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"`
	Requests     int    `json:"requests"`
	Outstanding  int64  `json:"outstanding"`
	Served       int    `json:"served"`
	PromptTokens int64  `json:"promptTokens"`
	CachedTokens int64  `json:"cachedTokens"`
}

// Truth is the engine's state as it is now, with the tokens that it still has to make.
func (e *Engine) Truth() (t Truth) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t = Truth{
		Name: e.opts.Name, Incarnation: e.incarnation, Served: e.served,
		PromptTokens: e.promptSum, CachedTokens: e.cachedSum,
	}
	for _, s := range append(append([]*sequence{}, e.running...), e.waiting...) {
		t.Requests++
		t.Outstanding += int64(s.prefill + s.want - s.made)
	}
	return t
}

// Incarnation is new with each start of the engine.
func (e *Engine) Incarnation() string { return e.incarnation }
