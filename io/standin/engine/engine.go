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

// Options configure an engine; a zero field means its default.
type Options struct {
	Name                 string
	Models               []string
	StepInterval         time.Duration
	TokensPerStep        int
	BatchSize            int
	PrefillTokensPerStep int
	CacheCapacityTokens  int
	ReportLag            time.Duration
	ChecksFence          bool
	WeightStoreURL       string
}

const (
	defaultStep          = 20 * time.Millisecond
	defaultTokensPerStep = 1
	defaultBatch         = 64
	defaultPrefillTokens = 2048
	defaultCacheTokens   = 200_000
	defaultReportLag     = 300 * time.Millisecond
)

// Engine simulates an engine with continuous batching and a prefix cache of limited size.
type Engine struct {
	opts          Options
	incarnation   string
	mu            sync.Mutex
	faults        Faults
	cache         *prefixCache
	events        *eventLog
	waiting       []*sequence
	running       []*sequence
	loaded        map[string]bool
	fence         int64
	appliedOrders int
	reportHistory []recordedReport
	served        int
	promptTokens  int64
	cachedTokens  int64
	busy          chan struct{}
	// crashText is what a message has to hold to make the engine call onCrash, if that is not nil.
	crashText string
	onCrash   func()
}

type recordedReport struct {
	at time.Time
	r  report.Report
}

// New returns an engine with a new incarnation and an empty cache.
func New(o Options) *Engine {
	o = withDefaults(o)
	e := &Engine{opts: o, incarnation: uuid.NewString()[:8], loaded: map[string]bool{}, busy: make(chan struct{}, 1)}
	e.cache = newPrefixCache(o.CacheCapacityTokens)
	e.events = &eventLog{}
	for _, m := range o.Models {
		e.loaded[m] = true
	}
	return e
}

func withDefaults(o Options) Options {
	if o.StepInterval == 0 {
		o.StepInterval = defaultStep
	}
	if o.TokensPerStep == 0 {
		o.TokensPerStep = defaultTokensPerStep
	}
	if o.BatchSize == 0 {
		o.BatchSize = defaultBatch
	}
	if o.PrefillTokensPerStep == 0 {
		o.PrefillTokensPerStep = defaultPrefillTokens
	}
	if o.CacheCapacityTokens == 0 {
		o.CacheCapacityTokens = defaultCacheTokens
	}
	if o.ReportLag == 0 {
		o.ReportLag = defaultReportLag
	}
	return o
}

// Handler serves the engine protocol of docs/PLATFORM.md, and PUT /faults and GET /truth for tests.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	m.HandleFunc("/savoryfall/report", e.handleReport).Methods(http.MethodGet)
	m.HandleFunc("/savoryfall/attempts/{attempt}", e.handleSetPriority).Methods(http.MethodPut)
	m.HandleFunc("/savoryfall/attempts/{attempt}", e.handleCancel).Methods(http.MethodDelete)
	m.HandleFunc("/savoryfall/kv/{prefix}", e.handleExportKV).Methods(http.MethodGet)
	m.HandleFunc("/savoryfall/kv/{prefix}", e.handleImportKV).Methods(http.MethodPut)
	m.HandleFunc("/savoryfall/events", e.handleEvents).Methods(http.MethodGet)
	m.HandleFunc("/savoryfall/orders", e.handleOrder).Methods(http.MethodPut)
	m.HandleFunc("/faults", e.handleSetFaults).Methods(http.MethodPut)
	m.HandleFunc("/truth", e.handleActualState).Methods(http.MethodGet)
	return m
}

// Run advances the batch once per step until the context ends.
func (e *Engine) Run(ctx context.Context) {
	background.Every(ctx, e.opts.StepInterval, e.step)
}

// ActualState is the engine's actual state without the lag of its reports; only tests and load runs read it, never
// routers.
type ActualState struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"`
	Requests     int    `json:"requests"`
	Outstanding  int64  `json:"outstanding"`
	Served       int    `json:"served"`
	PromptTokens int64  `json:"promptTokens"`
	CachedTokens int64  `json:"cachedTokens"`
}

// ActualState returns the current state, including the number of tokens that still have to be processed or generated.
func (e *Engine) ActualState() (t ActualState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t = ActualState{
		Name: e.opts.Name, Incarnation: e.incarnation, Served: e.served,
		PromptTokens: e.promptTokens, CachedTokens: e.cachedTokens,
	}
	for _, s := range append(append([]*sequence{}, e.running...), e.waiting...) {
		t.Requests++
		t.Outstanding += int64(s.prefillLeft + s.length - s.generated)
	}
	return t
}

// Incarnation identifies this start of the engine.
func (e *Engine) Incarnation() string { return e.incarnation }
