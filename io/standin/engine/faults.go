package engine

import (
	"net/http"

	"savoryfall/io/standin/httpjson"
)

// Faults are the faults to inject; the zero value injects none. Fields that end in Next count down: each affects that
// many requests. AbortNext and TruncateNext take effect after StopAfterTokens tokens.
type Faults struct {
	Frozen           bool    `json:"frozen"`
	Hang             bool    `json:"hang"`
	Leaving          bool    `json:"leaving"`
	Refuse           bool    `json:"refuse"`
	EventGap         float64 `json:"eventGap"`
	DelayMs          int     `json:"lateMs"`
	WrongAttemptNext int     `json:"crossNext"`
	StopAfterTokens  int     `json:"dieAfterTokens"`
	AbortNext        int     `json:"dieNext"`
	TruncateNext     int     `json:"truncateNext"`
	FailNext         int     `json:"failNext"`
	DropNext         int     `json:"dropNext"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.ReadJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
}

// requestFaults are the faults that affect one request.
type requestFaults struct {
	refuse, wrongAttempt, abort, truncate, fail, drop bool
	delayMs, stopAfterTokens                          int
}

func (e *Engine) nextRequestFaults() (active requestFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := &e.faults
	active.refuse = f.Refuse || f.Leaving
	active.delayMs = f.DelayMs
	active.stopAfterTokens = f.StopAfterTokens
	active.wrongAttempt = decrement(&f.WrongAttemptNext)
	active.abort = decrement(&f.AbortNext)
	active.truncate = decrement(&f.TruncateNext)
	active.fail = decrement(&f.FailNext)
	active.drop = decrement(&f.DropNext)
	return active
}

func decrement(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// isHanging returns whether the engine accepts connections but never answers, as a stopped process does.
func (e *Engine) isHanging() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Hang
}
