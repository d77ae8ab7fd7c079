package entry

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded is the client's header without what concerns its own connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	dropNamed(out, h)
	return out
}

func dropNamed(out, h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
}

// copyAnswerHeader passes on the endpoint's header.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	dropNamed(to, from)
	if _, typed := from["Content-Type"]; !typed {
		// nil keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
}

// closing asks the client to leave this connection when the router stops, and when the request's context has ended though
// the client can be answered: net/http has ended the whole connection's with it, and would take the client of each later
// request for gone.
func (x *exchange) closing(h http.Header) {
	if x.front.phase.Load() != serving || x.ctx.Err() != nil {
		h.Set("Connection", "close")
	}
}

// lineOverhead is the colon, the blank and the line end of a header line, in bytes.
const lineOverhead = 4

// headerSize is about how many bytes the client sent before the body.
func headerSize(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + lineOverhead
		}
	}
	return n
}
