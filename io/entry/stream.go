package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/request"
	"savoryfall/core/sse"
)

// relay forwards a stream to the client over one or more attempts.
type relay struct {
	x             *exchange
	lastID        int64
	hasLast       bool
	lastEvent     string
	headerWritten bool
	// written is the number of events that the client got.
	written int
	flusher http.Flusher
	buf     []byte
	// ahead reads the current response, nil if responses are not read ahead.
	ahead *readAhead
	// partial is what is held of an event that is not complete.
	partial heldAnswer
}

// forwardStream handles a request whose response is a stream of events.
func (x *exchange) forwardStream() (p *request.Problem) {
	s := &relay{x: x, lastEvent: x.request.LastEventID}
	s.flusher, _ = x.w.(http.Flusher)
	last, err := strconv.ParseInt(x.request.LastEventID, 10, 64)
	s.lastID, s.hasLast = last, err == nil
	done, p := x.tryEndpoints(s.try)
	if done {
		return nil
	}
	if s.headerWritten {
		x.abort(p)
	}
	return p
}

// try forwards the stream of one attempt. done reports that the client has its complete response.
func (s *relay) try(a *attempt) (done bool, p *request.Problem) {
	x := s.x
	x.recordOrigin(a)
	x.recordContinued(a, s.lastEvent)
	w := s.startSilenceWatch(a)
	defer w.stop()
	err := x.send(a, x.deadline.Add(responseSlack), s.lastEvent)
	if err != nil {
		v, ran := classifyError(err)
		x.finishAttempt(a, v)
		if !ran {
			return false, request.NotRun(request.Unreachable, x.retryAfterUnreachable())
		}
		x.sends++
		return false, x.unknownOutcome(v)
	}
	x.sends++
	if a.reply.NotExecuted {
		x.recordFirstBytes(a)
		return false, x.refusedByEndpoint(a)
	}
	if a.response.Status != http.StatusOK || !x.fromEndpoint(a) {
		return s.forwardNonStream(a)
	}
	return s.forwardEvents(a)
}

// forwardNonStream handles a response that is not a stream.
func (s *relay) forwardNonStream(a *attempt) (done bool, p *request.Problem) {
	x := s.x
	response, p := x.receive(a)
	if p != nil {
		return false, p
	}
	x.finishAttempt(a, dispatch.Failed)
	if s.headerWritten || x.worthRetrying(response) && x.sends < x.route.MaxAttempts {
		return false, request.Unknown(request.Broken)
	}
	x.writeResponse(response)
	return true, nil
}

// streamReadSize is the size of the read buffer for a stream, in bytes.
const streamReadSize = 4 << 10

// startSilenceWatch starts a silenceWatch for an attempt that is about to be made, if the stream could continue at
// another endpoint.
func (s *relay) startSilenceWatch(a *attempt) (w *silenceWatch) {
	x := s.x
	w = &silenceWatch{attempt: a, canMove: func() bool { return x.canMove(a) }}
	if x.route.Kind.Repeatable() && x.sends+1 < x.route.MaxAttempts {
		w.start()
	}
	return w
}

// canMove reports whether another endpoint of the service could continue the stream of the attempt now.
func (x *exchange) canMove(a *attempt) bool {
	now := time.Now()
	q := dispatch.Query{Service: x.service, Origin: x.origin.Load(), Tried: []string{a.Endpoint().ID}}
	return x.handler.Retries.Remaining(x.service, now) >= 1 && x.handler.Dispatcher.HasCapacityElsewhere(q, now)
}

// errNotForwardable is returned if the events could not be forwarded to the client as received.
var errNotForwardable = errors.New("events cannot be forwarded")

// forwardEvents forwards complete events until the stream ends or fails.
func (s *relay) forwardEvents(a *attempt) (done bool, p *request.Problem) {
	var split sse.Splitter
	s.partial = s.x.holdPart()
	err := s.readAhead(a, &split)
	s.partial.close()
	if errors.Is(err, io.EOF) {
		return s.finish(a, &split)
	}
	return s.fail(a, err)
}

// readAhead copies the stream, and reads it ahead where overload control is active.
func (s *relay) readAhead(a *attempt, split *sse.Splitter) (err error) {
	s.ahead = s.x.newReadAhead(a)
	if s.ahead == nil {
		return s.copy(a, a.response, split)
	}
	err = s.copy(a, s.ahead, split)
	s.ahead.close()
	s.x.recordSlowReader(a, s.ahead)
	return err
}

// copy reads until the stream fails or the body ends, for which it returns io.EOF.
func (s *relay) copy(a *attempt, from io.Reader, split *sse.Splitter) (err error) {
	if s.buf == nil {
		s.buf = make([]byte, streamReadSize)
	}
	for receiving := false; ; {
		n, err := from.Read(s.buf)
		if n > 0 && !receiving {
			receiving = true
			s.x.recordFirstBytes(a)
		}
		if n > 0 && !s.writeEvents(a, split, s.buf[:n]) {
			return errNotForwardable
		}
		if !s.partial.hold(int64(split.Buffered())) {
			return errNoMemory
		}
		if err != nil {
			return err
		}
	}
}

func (s *relay) fail(a *attempt, err error) (done bool, p *request.Problem) {
	v := dispatch.Broken
	if isTimeout(err) {
		v = dispatch.Silent
	}
	if s.ahead != nil && s.ahead.endedByPause() {
		// The endpoint may have ended the response because this router did not read it.
		s.x.finishAttempt(a, dispatch.Abandoned)
		return false, s.x.unknownOutcome(v)
	}
	if errors.Is(err, errNoMemory) {
		return false, s.x.answerNotRead(a, err, s.partial.counted)
	}
	s.x.finishAttempt(a, v)
	return false, s.x.unknownOutcome(v)
}

// finish handles the end of the response body: the stream is complete if no partial event is left.
func (s *relay) finish(a *attempt, split *sse.Splitter) (done bool, p *request.Problem) {
	x := s.x
	if split.HasPartialEvent() {
		x.finishAttempt(a, dispatch.Broken)
		return false, request.Unknown(request.Broken)
	}
	s.writeHeader(a)
	x.finishAttempt(a, dispatch.Served)
	x.recordOutput(s.written)
	x.recordServed(http.StatusOK)
	return true, nil
}

// recordOutput records the length of an answer that the client got from its beginning to its end.
func (x *exchange) recordOutput(events int) {
	if x.request.ResumesStream() {
		return
	}
	q := dispatch.Query{Service: x.service, Kind: x.route.Name, LengthHint: x.request.LengthHint}
	x.handler.Dispatcher.RecordOutput(q, events, time.Now())
}

// writeHeader sends the header of the first attempt that has events. Later attempts continue the same response.
func (s *relay) writeHeader(a *attempt) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	h := s.x.w.Header()
	copyResponseHeader(h, a.response.Header)
	if a.response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.response.Length, 10))
	}
	s.x.setConnectionClose(h)
	s.x.w.WriteHeader(a.response.Status)
	s.x.recordFirstEvent()
}

// writeEvents writes the events that the bytes complete. Events that the client already has are skipped, because an
// endpoint that continues the stream of another may start too early. It returns false if an event is too large or the
// client cannot be written to.
func (s *relay) writeEvents(a *attempt, split *sse.Splitter, p []byte) (ok bool) {
	events, ok := split.Feed(p)
	if !ok {
		return false
	}
	now := time.Now()
	if s.ahead != nil && s.ahead.isSlow() {
		a.RecordDelay()
	}
	a.RecordEvents(len(events), now)
	s.x.countEvents(a, len(events))
	if s.ahead != nil {
		s.ahead.beginWrite()
		defer s.ahead.endWrite()
	}
	wrote := false
	for _, e := range events {
		if e.HasID && s.hasLast && e.ID <= s.lastID {
			continue
		}
		if !s.x.firstEventSent && !s.x.bindOrigin(a) {
			return false
		}
		s.writeHeader(a)
		_, err := s.x.w.Write(e.Bytes)
		if err != nil {
			return false
		}
		wrote = true
		s.written++
		if e.HasID {
			s.lastID, s.hasLast = e.ID, true
			s.lastEvent = strconv.FormatInt(e.ID, 10)
		}
	}
	if wrote && s.flusher != nil {
		s.flusher.Flush()
	}
	if time.Since(now) > maxWriteTime {
		a.RecordDelay()
	}
	return true
}

// maxWriteTime is the time to write events beyond which the pause until the next ones shows the client's speed and not the endpoint's.
const maxWriteTime = 5 * time.Millisecond
