package entry

import (
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/request"
)

// countsMemory reports whether the bytes that are held for the request count toward the memory budget.
func (x *exchange) countsMemory() bool {
	h := x.handler
	if h.Memory == nil || x.route == nil {
		return false
	}
	return h.Dispatcher.OverloadControl(x.serviceFor(), time.Now())
}

// checkMemory refuses a stream that would begin when memory is almost used up, because streams hold memory for as long as their
// clients take to read them.
func (x *exchange) checkMemory() *request.Problem {
	if x.route.Kind.Streaming() && x.countsMemory() && x.handler.Memory.Full() {
		return request.NotRun(request.Memory, retryLater)
	}
	return nil
}

// newReadAhead returns a reader that reads the attempt's response ahead, nil where memory does not count.
func (x *exchange) newReadAhead(a *attempt) *readAhead {
	if !x.countsMemory() {
		return nil
	}
	return newReadAhead(a, x.handler.Memory, x.handler.ConnectionBytes())
}

// holdAnswer counts an answer that is ready. It is never cut off for want of memory.
func (x *exchange) holdAnswer(n int) {
	if !x.countsMemory() {
		return
	}
	if x.memory == nil {
		x.memory = x.handler.Memory.Open(0)
	}
	x.memory.Force(int64(n))
}

func (x *exchange) releaseMemory() {
	if x.heldBody != nil {
		x.heldBody.Close()
	}
	if x.memory != nil {
		x.memory.Close()
	}
	x.answer.close()
}

// recordSlowReader counts a stream that was read ahead, and logs one that was paused for want of memory.
func (x *exchange) recordSlowReader(a *attempt, r *readAhead) {
	slow, paused := r.slow()
	if !slow {
		return
	}
	x.handler.Metrics.recordSlowReader(paused > 0)
	if paused > 0 {
		_ = x.handler.Logger.Log(field.Event, event.StreamPaused, field.Request, x.request.ID, field.Endpoint, a.Endpoint().ID,
			field.Account, x.accountName(), field.PausedMs, paused.Milliseconds())
	}
}

func (m *Metrics) recordSlowReader(paused bool) {
	m.set.GetOrCreateCounter("savoryfall_slow_readers_total").Inc()
	if paused {
		m.set.GetOrCreateCounter("savoryfall_paused_streams_total").Inc()
	}
}
