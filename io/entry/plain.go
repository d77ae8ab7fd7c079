package entry

import (
	"net/http"
	"strconv"
	"time"

	"savoryfall/core/ask"
	"savoryfall/core/dispatch"
)

// maxAnswer bounds a plain answer in bytes.
const maxAnswer = 16 << 20

// whole is a plain answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// plain answers a request whose answer is one body.
func (x *exchange) plain() (p *ask.Problem) {
	// failure is an endpoint's own, which is passed on when no other endpoint does better.
	var failure *whole
	done, p := x.tryEach(func(a *attempt) (done bool, p *ask.Problem) {
		failure = nil
		answer, p := x.try(a)
		if p != nil {
			return false, p
		}
		if x.another(answer) {
			failure = answer
			return false, ask.Unknown(ask.Broken)
		}
		x.deliver(answer)
		return true, nil
	})
	if !done && failure != nil {
		x.deliver(failure)
		return nil
	}
	return p
}

// another tells whether an endpoint's own failure is worth another try elsewhere.
func (x *exchange) another(answer *whole) bool {
	return answer.status >= http.StatusInternalServerError && x.route.Kind.Repeatable()
}

// try makes one attempt and reads its whole answer.
func (x *exchange) try(a *attempt) (answer *whole, p *ask.Problem) {
	err := x.send(a, x.until(), x.ask.LastEvent)
	if err != nil {
		v, ran := failed(err)
		x.end(a, v)
		if !ran {
			return nil, ask.NotRun(ask.Unreachable, backSoon)
		}
		x.sends++
		return nil, x.lost(v)
	}
	x.sends++
	a.heard()
	if a.reply.NotRun {
		return nil, x.turnedAway(a)
	}
	body, err := a.answer.ReadAll(maxAnswer)
	if err != nil {
		x.end(a, dispatch.Broken)
		return nil, x.lost(dispatch.Broken)
	}
	if !x.genuine(a) {
		x.end(a, dispatch.Broken)
		return nil, ask.Unknown(ask.Broken)
	}
	v := dispatch.Served
	if a.answer.Status >= http.StatusInternalServerError {
		v = dispatch.Failed
	}
	answer = &whole{status: a.answer.Status, header: a.answer.Header, body: body}
	x.end(a, v)
	return answer, nil
}

// turnedAway ends an attempt that the endpoint refused to run.
func (x *exchange) turnedAway(a *attempt) *ask.Problem {
	if a.reply.Elsewhere {
		// The address belongs to another instance now; the list will say so too.
		x.front.Dispatcher.Gone(a.Endpoint().ID)
	}
	_, _ = a.answer.ReadAll(maxAnswer)
	x.end(a, dispatch.Refused)
	return ask.NotRun(ask.Refused, backSoon)
}

// genuine tells whether the answer is the endpoint's own.
func (x *exchange) genuine(a *attempt) bool {
	if a.reply.Encoded {
		return false
	}
	return a.reply.Signed || a.answer.Status >= http.StatusMultipleChoices
}

func (x *exchange) lost(v dispatch.Verdict) *ask.Problem {
	if v == dispatch.Silent {
		return ask.Unknown(ask.Late)
	}
	return ask.Unknown(ask.Broken)
}

// firstShare is the part of the time left that the first attempt at a repeatable request may take in silence, so that
// a second one still has time.
const firstShare = 3

// until is when an attempt is given up.
func (x *exchange) until() time.Time {
	if x.route.Kind.Repeatable() && x.sends+1 < x.route.MaxAttempts {
		return time.Now().Add(time.Until(x.deadline) / firstShare)
	}
	return x.deadline.Add(spareTime)
}

// deliver writes the endpoint's answer as it is.
func (x *exchange) deliver(answer *whole) {
	h := x.w.Header()
	copyAnswerHeader(h, answer.header)
	if bodyAllowed(answer.status) && x.ask.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.closing(h)
	x.w.WriteHeader(answer.status)
	_, _ = x.w.Write(answer.body)
	x.served(answer.status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
