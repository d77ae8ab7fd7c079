package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"savoryfall/core/header"
	"savoryfall/core/outcome"
)

const headerDeadline = header.DeadlineMs

// problem is a failure in the form in which it is reported to a client.
type problem struct {
	status     int
	kind       string
	code       string
	param      string
	message    string
	outcome    outcome.Outcome
	retryAfter time.Duration
	// unreached is set if the attempt got no connection.
	unreached bool
}

// The kinds of problems, named as in the OpenAI API.
const (
	kindInvalid  = "invalid_request_error"
	kindAuth     = "authentication_error"
	kindOverload = "overloaded_error"
	kindServer   = "server_error"
)

func (p *problem) Error() string { return p.message }

type problemBody struct {
	Error struct {
		Message   string          `json:"message"`
		Type      string          `json:"type"`
		Param     *string         `json:"param"`
		Code      string          `json:"code"`
		Outcome   outcome.Outcome `json:"outcome"`
		RequestID string          `json:"requestId"`
	} `json:"error"`
}

func (p *problem) body(request string) []byte {
	var b problemBody
	b.Error.Message = p.message
	b.Error.Type = p.kind
	b.Error.Code = p.code
	b.Error.Outcome = p.outcome
	b.Error.RequestID = request
	if p.param != "" {
		b.Error.Param = &p.param
	}
	data, err := json.Marshal(b)
	if err != nil {
		panic("caller: problem cannot be encoded as JSON: " + err.Error())
	}
	return data
}

func (p *problem) write(w http.ResponseWriter, request string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(header.Outcome, string(p.outcome))
	// OpenAI client libraries retry failed requests by themselves. This header tells them not to if the request may
	// have run.
	if p.outcome == outcome.Unknown {
		w.Header().Set("X-Should-Retry", "false")
	}
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body(request))
}

func invalidKey() *problem {
	return &problem{
		status: http.StatusUnauthorized, kind: kindAuth, code: "invalid_api_key",
		message: "no client account in force has this bearer key", outcome: outcome.NotRun,
	}
}

func unknownModel(model string) *problem {
	return &problem{
		status: http.StatusNotFound, kind: kindInvalid, code: "model_not_found", param: "model",
		message: fmt.Sprintf("the model %q is not in force", model), outcome: outcome.NotRun,
	}
}

func unknownPath(path string) *problem {
	return &problem{
		status: http.StatusNotFound, kind: kindInvalid, code: "path_not_found",
		message: fmt.Sprintf("no plain service in force has the path %q", path), outcome: outcome.NotRun,
	}
}

func malformed(field, message string) *problem {
	return &problem{
		status: http.StatusBadRequest, kind: kindInvalid, code: "malformed_request", param: field,
		message: message, outcome: outcome.NotRun,
	}
}

func bodyTooLarge(limit int64) *problem {
	return &problem{
		status: http.StatusRequestEntityTooLarge, kind: kindInvalid, code: "request_too_large",
		message: fmt.Sprintf("the body is over %d bytes", limit), outcome: outcome.NotRun,
	}
}

func bodyTimeout(result outcome.Outcome) *problem {
	return &problem{
		status: http.StatusRequestTimeout, kind: kindInvalid, code: "body_too_slow",
		message: "the body did not arrive in time", outcome: result,
	}
}

// defaultRetryAfter is sent when endpoints refuse requests; within that time, probes find another endpoint.
const defaultRetryAfter = time.Second

func unavailable(message string, result outcome.Outcome) *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindOverload, code: "no_endpoint",
		message: message, outcome: result, retryAfter: defaultRetryAfter,
	}
}

func quarantined(crashes int, delay time.Duration) *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindServer, code: "request_quarantined",
		message: fmt.Sprintf("%d endpoints crashed under this request", crashes), outcome: outcome.NotRun, retryAfter: max(delay, defaultRetryAfter),
	}
}

func overloaded(message string, delay time.Duration) *problem {
	return &problem{
		status: http.StatusTooManyRequests, kind: kindOverload, code: "overloaded",
		message: message, outcome: outcome.NotRun, retryAfter: delay,
	}
}

func endpointFailed(message string, result outcome.Outcome) *problem {
	return &problem{
		status: http.StatusBadGateway, kind: kindServer, code: "endpoint_failed", message: message, outcome: result,
	}
}

func deadlineExceeded(result outcome.Outcome) *problem {
	return &problem{
		status: http.StatusGatewayTimeout, kind: kindServer, code: "deadline_exceeded",
		message: "the deadline of the request has passed", outcome: result,
	}
}
