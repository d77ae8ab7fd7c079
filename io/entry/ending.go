package entry

import (
	"strconv"
	"strings"
	"time"

	"savoryfall/core/directory"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/prompt"
	"savoryfall/core/quarantine"
	"savoryfall/io/process"
)

// ending is how an answer of an endpoint ended.
type ending struct {
	x       *exchange
	entry   directory.Entry
	began   time.Time
	subject quarantine.Subject
	// silentFor is how long the router had received nothing from the endpoint, and silent is set if other endpoints of the service were
	// heard meanwhile, so that the silence shows something of this one.
	silentFor time.Duration
	silent    bool
	// answered is set if the answer had gone well until then.
	answered bool
	// expected is set if the endpoint may have ended for a reason of its own, announced if it has said so.
	expected, announced bool
	fields              []any
}

// endingOf describes how the answer of the attempt has ended.
func (x *exchange) endingOf(a *attempt) (n *ending) {
	e, now := a.Endpoint(), time.Now()
	silentFor := a.SilentFor(now)
	return &ending{
		x: x, entry: e, began: a.Began(), subject: x.subject(), answered: a.answered, expected: a.ExpectedToEnd(now), announced: a.AnnouncedEnd(now),
		silentFor: silentFor, silent: silentFor >= minSilence && now.Sub(x.handler.Dispatcher.LastBytesAt(x.service)) < silentFor,
		fields: []any{
			field.Request, x.request.ID, field.RequestKey, hexadecimal(x.identity()), field.Route, x.routeName(),
			field.Service, x.service, field.Account, x.accountName(), field.Endpoint, e.ID, field.Born, e.Born, field.Software, e.Version,
			field.Events, a.events, field.Sends, x.sends, field.Model, shortened(x.request.Model), field.Parts, partList(x.request.Prompt),
		},
	}
}

// checkProcess returns the state of the endpoint's process.
func (n *ending) checkProcess() process.State {
	return n.x.handler.processes.Check(n.entry.ID+"/"+strconv.FormatInt(n.entry.Born, 10), n.entry.Address, n.x.handler.Dial)
}

// record logs and counts the ending, and reports whether the endpoint's process crashed with it. A process that does not respond at
// all may have lost its machine or its way to this router: what is known of other requests and other routers tells these apart.
func (n *ending) record(state process.State) (crashed bool) {
	h := n.x.handler
	h.Metrics.recordBroken(n.entry.Service, state)
	_ = h.Logger.Log(append([]any{
		field.Event, event.AnswerBroken, field.Process, state, field.SilentMs, n.silentFor.Milliseconds(), field.Expected, n.expected,
	}, n.fields...)...)
	c := quarantine.Crash{
		Process: quarantine.Process{Endpoint: n.entry.ID, Born: n.entry.Born}, Sent: n.began, At: time.Now(), Answered: n.answered,
	}
	switch {
	case state == process.Ended && !n.expected:
	case state == process.Unknown && n.silent && !n.announced:
		// That the endpoint is not listed any more may be a consequence of its end.
		c.At, c.Silent = c.At.Add(-n.silentFor), true
	default:
		return false
	}
	h.Quarantine.Crashed(n.subject, c, time.Now())
	return true
}

// recordBroken records an answer that has broken off, and whether the endpoint's process crashed with it. A request that has no prompt
// is not delayed by that unless an endpoint crashed under it before.
func (x *exchange) recordBroken(a *attempt) {
	n := x.endingOf(a)
	if len(x.request.Prompt) == 0 && !x.suspected() {
		go func() { n.record(n.checkProcess()) }()
		return
	}
	if n.record(n.checkProcess()) {
		x.atCrash = true
	}
}

// recordSilence records an answer that was given up after the endpoint had been silent, and whether its process has ended. A stream is
// continued meanwhile unless an endpoint crashed under the request before.
func (x *exchange) recordSilence(a *attempt) {
	n := x.endingOf(a)
	if !n.silent {
		return
	}
	record := func() {
		if state := n.checkProcess(); state != process.Alive {
			n.record(state)
		}
	}
	x.endChecked = true
	if x.suspected() {
		record()
		return
	}
	go record()
}

const (
	// endCheckDelay is how long after the end of an answer it is checked whether the process ended with it, and settledBytes how
	// much of that bytes from the process may be late.
	endCheckDelay = 50 * time.Millisecond
	settledBytes  = 10 * time.Millisecond
)

// checkEnd finds out, in the background, whether an answer that ended with its connection did so because the process crashed: to its
// client it is complete in either case.
func (x *exchange) checkEnd(a *attempt) {
	n := x.endingOf(a)
	x.endChecked = true
	time.AfterFunc(endCheckDelay, func() {
		state := process.Alive
		if a.SilentFor(time.Now()) > endCheckDelay-settledBytes {
			state = n.checkProcess()
		}
		if state == process.Alive {
			x.recordAnswered(a)
			x.recordCompleted(a)
			return
		}
		n.record(state)
	})
}

// maxLoggedParts limits the prompt parts of one line.
const maxLoggedParts = 16

// partList returns the ids of the prompt's parts, in hexadecimal.
func partList(c prompt.Chain) string {
	ids := make([]string, 0, min(len(c), maxLoggedParts))
	for _, p := range c[:min(len(c), maxLoggedParts)] {
		ids = append(ids, hexadecimal(p.ID))
	}
	return strings.Join(ids, ",")
}
