package clientconn

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// refusal is the answer to a request that has not run and ends its connection.
type refusal struct {
	status int
	// retryAfter is the header of that name in seconds, empty for a request that would be refused again.
	retryAfter string
}

var refusals = map[CloseReason]refusal{
	HeadTooLarge: {status: http.StatusRequestHeaderFieldsTooLarge},
	NoMemory:     {status: http.StatusServiceUnavailable, retryAfter: "0.5"},
}

func (r refusal) header() (h http.Header) {
	h = http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	if r.retryAfter != "" {
		h.Set("Retry-After", r.retryAfter)
	}
	return h
}

// text returns the response as it is sent while net/http has not received the complete head.
func (r refusal) text() (response string) {
	var lines strings.Builder
	_ = r.header().Write(&lines)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n", r.status, http.StatusText(r.status), lines.String())
}

// write answers a request whose handler has started.
func (r refusal) write(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(lingerTime))
	for name, values := range r.header() {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
}
