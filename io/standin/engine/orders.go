package engine

import (
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"savoryfall/core/header"
	"savoryfall/core/outcome"
	"savoryfall/io/standin/httpjson"
)

// Order tells the engine which models to load. It is a complete desired state rather than a change, so that a delayed
// duplicate has no lasting effect.
type Order struct {
	Fence  int64    `json:"fence"`
	Loaded []string `json:"loaded"`
}

const maxKVBytes = 64 << 20

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !httpjson.ReadJSON(w, r, &o) {
		return
	}
	if e.isStale(o) {
		w.Header().Set(header.Outcome, string(outcome.NotRun))
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	for _, m := range o.Loaded {
		if !e.isLoaded(m) && !e.fetchWeights(r, m) {
			http.Error(w, "the weight store refused", http.StatusServiceUnavailable)
			return
		}
	}
	e.apply(o)
}

func (e *Engine) isStale(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opts.ChecksFence && o.Fence < e.fence
}

func (e *Engine) isLoaded(m string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded[m]
}

func (e *Engine) fetchWeights(r *http.Request, m string) bool {
	if e.opts.WeightStoreURL == "" {
		return true
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, e.opts.WeightStoreURL+"/v1/weights/"+m, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (e *Engine) apply(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fence = max(e.fence, o.Fence)
	e.appliedOrders++
	e.loaded = map[string]bool{}
	for _, m := range o.Loaded {
		e.loaded[m] = true
	}
}

// Orders returns the number of orders that were applied, and the models that are loaded.
func (e *Engine) Orders() (applied int, loaded []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for m := range e.loaded {
		loaded = append(loaded, m)
	}
	slices.Sort(loaded)
	return e.appliedOrders, loaded
}

// handleExportKV sends as many bytes as the prefix has tokens after the header; the stand-in has no real KV cache
// contents.
func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	h, err := strconv.ParseUint(mux.Vars(r)["prefix"], 16, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	el, ok := e.cache.byHash[h]
	tokens := 0
	if ok {
		tokens = el.Value.(prefix).tokens
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "prefix not cached", http.StatusNotFound)
		return
	}
	body := make([]byte, kvHeaderBytes+tokens)
	binary.BigEndian.PutUint64(body, uint64(tokens))
	_, _ = w.Write(body)
}

const kvHeaderBytes = 8

func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	h, err := strconv.ParseUint(mux.Vars(r)["prefix"], 16, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKVBytes))
	if err != nil || len(body) < kvHeaderBytes {
		http.Error(w, "not a KV export", http.StatusBadRequest)
		return
	}
	tokens := int(binary.BigEndian.Uint64(body))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.cache.add([]prefix{{hash: h, tokens: tokens}}))
}
