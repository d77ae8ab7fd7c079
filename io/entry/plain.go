package entry

import (
	"net/http"
	"strconv"
	"time"

	"savoryfall/core/dispatch"
	"savoryfall/core/request"
)

// maxResponseBytes limits the body of a response that is not a stream.
const maxResponseBytes = 16 << 20

// plainResponse is a response whose body was read completely.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardPlain handles a request whose response is a single body.
func (x *exchange) forwardPlain() (p *request.Problem) {
	// endpointFailure is an endpoint's own error response, which is returned if no other endpoint does better.
	var endpointFailure *plainResponse
	done, p := x.tryEndpoints(func(a *attempt) (done bool, p *request.Problem) {
		endpointFailure = nil
		response, p := x.tryPlain(a)
		if p != nil {
			return false, p
		}
		if x.worthRetrying(response) {
			endpointFailure = response
			return false, request.Unknown(request.Broken)
		}
		x.writeResponse(response)
		return true, nil
	})
	if !done && endpointFailure != nil {
		x.writeResponse(endpointFailure)
		return nil
	}
	return p
}

// worthRetrying reports whether an endpoint's own error response justifies an attempt at another endpoint.
func (x *exchange) worthRetrying(response *plainResponse) bool {
	return response.status >= http.StatusInternalServerError && x.route.Kind.Repeatable()
}

// tryPlain makes one attempt and reads the complete response.
func (x *exchange) tryPlain(a *attempt) (response *plainResponse, p *request.Problem) {
	defer x.endWithRouter(a)()
	err := x.send(a, x.attemptDeadline(), x.request.LastEventID)
	if err != nil {
		v, ran := classifyError(err)
		if ran && x.handler.ended.Err() != nil {
			x.sends++
			return nil, x.giveUp(a)
		}
		x.finishAttempt(a, v)
		if !ran {
			return nil, request.NotRun(request.Unreachable, x.retryAfterUnreachable())
		}
		x.sends++
		return nil, x.unknownOutcome(v)
	}
	x.sends++
	x.recordFirstBytes(a)
	if a.reply.NotExecuted {
		return nil, x.refusedByEndpoint(a)
	}
	response, p = x.receive(a)
	if p != nil {
		return nil, p
	}
	v := dispatch.Served
	if response.status >= http.StatusInternalServerError {
		v = dispatch.Failed
	}
	x.finishAttempt(a, v)
	return response, nil
}

// receive reads the complete response of the attempt. If it may not be forwarded, receive finishes the attempt and returns the
// problem.
func (x *exchange) receive(a *attempt) (response *plainResponse, p *request.Problem) {
	if !x.mayForward(a.response.Status) {
		a.response.Discard()
		x.finishAttempt(a, dispatch.Failed)
		return nil, request.Unknown(request.UnconfirmedRefusal)
	}
	body, err := x.readAnswer(a)
	if err != nil && x.handler.ended.Err() != nil && a.ctx.Err() != nil {
		return nil, x.giveUp(a)
	}
	if err != nil {
		return nil, x.answerNotRead(a, err, x.answer.counted)
	}
	if !x.fromEndpoint(a) {
		x.finishAttempt(a, dispatch.Broken)
		return nil, request.Unknown(request.Broken)
	}
	return &plainResponse{status: a.response.Status, header: a.response.Header, body: body}, nil
}

// mayForward reports whether the client may get a response with the status from an endpoint that does not say that it has not
// executed the request. Of a request that must not run twice, a client would take some for that guarantee and send it again.
func (x *exchange) mayForward(status int) bool {
	return x.route.Kind.Repeatable() || !x.handler.ClientProtocol.GuaranteesNotExecuted(status)
}

// refusedByEndpoint finishes an attempt that the endpoint refused to run.
func (x *exchange) refusedByEndpoint(a *attempt) *request.Problem {
	if a.reply.WrongInstance {
		// The address now belongs to another instance. The endpoint list will show that later.
		x.handler.Dispatcher.MarkReplaced(a.Endpoint().ID)
	}
	a.response.Discard()
	x.finishAttempt(a, dispatch.Refused)
	return request.NotRun(request.Refused, x.retryAfterPause())
}

// fromEndpoint reports whether the response was made by the endpoint itself.
func (x *exchange) fromEndpoint(a *attempt) bool {
	if a.reply.ContentEncoded {
		return false
	}
	return a.reply.FromEndpoint || a.response.Status >= http.StatusMultipleChoices
}

// unknownOutcome returns the problem of an attempt that ended without the complete response.
func (x *exchange) unknownOutcome(v dispatch.Verdict) *request.Problem {
	x.lostConnection = true
	if v == dispatch.Silent {
		return request.Unknown(request.DeadlineExceeded)
	}
	return request.Unknown(request.Broken)
}

// firstAttemptDivisor limits the first attempt at a repeatable request to a third of the time left, so that there is
// time for a second one.
const firstAttemptDivisor = 3

// attemptDeadline returns when the next attempt is given up.
func (x *exchange) attemptDeadline() time.Time {
	if x.route.Kind.Repeatable() && x.sends+1 < x.route.MaxAttempts {
		return time.Now().Add(time.Until(x.deadline) / firstAttemptDivisor)
	}
	return x.deadline.Add(responseSlack)
}

// writeResponse sends the endpoint's response to the client unchanged.
func (x *exchange) writeResponse(response *plainResponse) {
	x.releaseBody()
	x.holdAnswer(len(response.body))
	h := x.w.Header()
	copyResponseHeader(h, response.header)
	if bodyAllowed(response.status) && x.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	x.setConnectionClose(h)
	x.w.WriteHeader(response.status)
	_, _ = x.w.Write(response.body)
	x.recordServed(response.status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
