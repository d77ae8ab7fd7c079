package engine

import (
	"net/http"

	"savoryfall/io/standin/wire"
)

// Faults are the switches; the zero value has none on. Counted ones hit that many requests and are then off.
type Faults struct {
	Frozen         bool    `json:"frozen"`
	Hang           bool    `json:"hang"`
	Leaving        bool    `json:"leaving"`
	Refuse         bool    `json:"refuse"`
	EventGap       float64 `json:"eventGap"`
	LateMs         int     `json:"lateMs"`
	CrossNext      int     `json:"crossNext"`
	DieAfterTokens int     `json:"dieAfterTokens"`
	DieNext        int     `json:"dieNext"`
	TruncateNext   int     `json:"truncateNext"`
	FailNext       int     `json:"failNext"`
	DropNext       int     `json:"dropNext"`
}

// Set replaces the switches.
func (e *Engine) Set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !wire.Read(w, r, &f) {
		return
	}
	e.Set(f)
}

// hit is what the switches do to one request.
type hit struct {
	refuse, cross, die, truncate, fail, drop bool
	lateMs, dieAfter                         int
}

func (e *Engine) takeFaults() (h hit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := &e.faults
	h.refuse = f.Refuse || f.Leaving
	h.lateMs = f.LateMs
	h.dieAfter = f.DieAfterTokens
	h.cross = take(&f.CrossNext)
	h.die = take(&f.DieNext)
	h.truncate = take(&f.TruncateNext)
	h.fail = take(&f.FailNext)
	h.drop = take(&f.DropNext)
	return h
}

func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// hangs tells whether the engine takes connections and then says nothing, as a stopped process does.
func (e *Engine) hangs() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Hang
}
