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
	"savoryfall/io/standin/wire"
)

// Order says what the engine shall hold; it states the wanted whole, so that a late twin changes nothing lasting.
type Order struct {
	Fence  int64    `json:"fence"`
	Loaded []string `json:"loaded"`
}

const maxKV = 64 << 20

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !wire.Read(w, r, &o) {
		return
	}
	if e.stale(o) {
		w.Header().Set(header.Outcome, string(outcome.NotRun))
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	for _, m := range o.Loaded {
		if !e.has(m) && !e.fetch(r, m) {
			http.Error(w, "the weight store refused", http.StatusServiceUnavailable)
			return
		}
	}
	e.obey(o)
}

func (e *Engine) stale(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opts.ChecksFence && o.Fence < e.fence
}

func (e *Engine) has(m string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded[m]
}

func (e *Engine) fetch(r *http.Request, m string) bool {
	if e.opts.WeightStore == "" {
		return true
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, e.opts.WeightStore+"/v1/weights/"+m, nil)
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

func (e *Engine) obey(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fence = max(e.fence, o.Fence)
	e.orders++
	e.loaded = map[string]bool{}
	for _, m := range o.Loaded {
		e.loaded[m] = true
	}
}

// Orders is how many orders were obeyed, and what is loaded now.
func (e *Engine) Orders() (obeyed int, loaded []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for m := range e.loaded {
		loaded = append(loaded, m)
	}
	slices.Sort(loaded)
	return e.orders, loaded
}

// exportKV sends bytes in proportion to the tokens; the stand-in has no real values to send.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	h, err := strconv.ParseUint(mux.Vars(r)["prefix"], 16, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	el, ok := e.cache.by[h]
	tokens := 0
	if ok {
		tokens = el.Value.(prefix).tokens
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "prefix not cached", http.StatusNotFound)
		return
	}
	body := make([]byte, kvHead+tokens)
	binary.BigEndian.PutUint64(body, uint64(tokens))
	_, _ = w.Write(body)
}

const kvHead = 8

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	h, err := strconv.ParseUint(mux.Vars(r)["prefix"], 16, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKV))
	if err != nil || len(body) < kvHead {
		http.Error(w, "not a KV export", http.StatusBadRequest)
		return
	}
	tokens := int(binary.BigEndian.Uint64(body))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.cache.put([]prefix{{hash: h, tokens: tokens}}))
}
