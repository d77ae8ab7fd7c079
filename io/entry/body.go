package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"savoryfall/core/bodybudget"
	"savoryfall/core/request"
)

const (
	// defaultMaxBodyBytes applies until a configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// minBodyBytes is the size of the first buffer for a body whose length is not stated.
	minBodyBytes = 1 << 10
	// maxBodyWait and bodyWaitShare limit how long a large body waits for memory: there must be time left to serve it.
	maxBodyWait   = 500 * time.Millisecond
	bodyWaitShare = 0.25
)

// errNoMemory is returned if a body cannot be held within the memory budget.
var errNoMemory = errors.New("the memory budget does not allow the body")

// readBody reads the whole body, so that the request can be sent to several endpoints and net/http notices when the
// client disconnects.
func (x *exchange) readBody() *request.Problem {
	limit := x.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return request.NotRun(request.BodyTooLarge, 0)
	}
	if !x.hasBody() {
		return nil
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(x.deadline)
	body, err := x.readLimited(limit)
	if errors.Is(err, errNoMemory) {
		x.discardBody(limit)
	}
	x.bodyRead = x.bodyRead || err == nil
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return request.NotRun(request.BodyTooLarge, 0)
	case errors.Is(err, errNoMemory):
		return request.NotRun(request.Memory, retryLater)
	case isTimeout(err):
		return request.NotRun(request.BodySlow, 0)
	case err != nil:
		return request.NotRun(request.Malformed, 0)
	}
	x.body = body
	return nil
}

func (x *exchange) hasBody() bool { return x.r.Body != nil && x.r.Body != http.NoBody }

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// readLimited reads the body, up to limit bytes and within the memory budgets.
func (x *exchange) readLimited(limit int64) (body []byte, err error) {
	length := x.r.ContentLength
	from := http.MaxBytesReader(x.w, x.r.Body, limit)
	// One byte more shows whether a body whose length is not stated ends there.
	largest := limit + 1
	if length >= 0 {
		largest = length
	}
	if !x.holdBody(largest) {
		return nil, errNoMemory
	}
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			body, err = x.growBody(body, largest)
			if err != nil {
				return nil, err
			}
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			length = int64(len(body))
		case err != nil && x.heldBody.Evicted():
			return nil, errNoMemory
		case err != nil:
			return nil, err
		}
	}
	// A body whose length was not stated may be far smaller than its buffer.
	if len(body) < cap(body)/2 {
		body = slices.Clone(body)
	}
	x.heldBody.Complete(int64(cap(body)))
	return body, nil
}

// holdBody begins to hold a body of at most the given number of bytes.
func (x *exchange) holdBody(largest int64) (ok bool) {
	if x.countsMemory() {
		x.memory = x.handler.Memory.Open(largest)
	}
	rc := http.NewResponseController(x.w)
	x.heldBody = x.handler.Bodies.Open(largest, func() { _ = rc.SetReadDeadline(time.Now()) })
	return x.heldBody != nil
}

// growBody returns the body with a larger buffer. Beyond the first part of a body, that is a buffer for all of it: bodies that have
// arrived in part and find no more memory would keep each other from theirs.
func (x *exchange) growBody(body []byte, largest int64) (larger []byte, err error) {
	size := max(2*int64(cap(body)), minBodyBytes)
	if x.r.ContentLength >= 0 {
		size = bodybudget.FirstBytes
	}
	if int64(cap(body)) >= bodybudget.FirstBytes {
		size = largest
	}
	size = min(size, largest)
	if x.memory != nil && !x.memory.Reserve(size-int64(cap(body))) {
		return nil, errNoMemory
	}
	if size > bodybudget.FirstBytes && !x.extendBody(size-bodybudget.FirstBytes) {
		return nil, errNoMemory
	}
	return append(make([]byte, 0, size), body...), nil
}

// extendBody waits until n more bytes of the body may be held.
func (x *exchange) extendBody(n int64) (ok bool) {
	wait := min(maxBodyWait, time.Duration(bodyWaitShare*float64(time.Until(x.deadline))))
	ctx, cancel := context.WithTimeout(x.ctx, wait)
	defer cancel()
	return x.heldBody.Extend(n, ctx.Done())
}

// releaseBody releases a large body that is not sent any more, before its client reads the answer, which may take long.
func (x *exchange) releaseBody() {
	if len(x.body) <= bodybudget.FirstBytes {
		return
	}
	// What is recorded later needs the hash of the request.
	x.identity()
	x.body = nil
	x.heldBody.Close()
}

// discardBody reads a body for which there is no memory, for a short time. A client that is still sending when its connection is
// closed may not receive the refusal.
func (x *exchange) discardBody(limit int64) {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	_, err := io.Copy(io.Discard, http.MaxBytesReader(x.w, x.r.Body, limit))
	x.bodyRead = err == nil
}
