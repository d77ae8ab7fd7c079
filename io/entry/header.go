package entry

import (
	"net/http"
	"strings"
)

// hopByHop are the header fields that are not passed on: those that apply to a single connection, and Content-Length
// and Expect, because the router has read the body and sets its own framing.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns the client's header without hop-by-hop fields.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	dropHopByHop(out, h)
	return out
}

func dropHopByHop(out, h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
}

// copyResponseHeader copies the endpoint's header without hop-by-hop fields.
func copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	dropHopByHop(to, from)
	if _, typed := from["Content-Type"]; !typed {
		// nil keeps net/http from detecting a content type.
		to["Content-Type"] = nil
	}
}

// setConnectionClose asks the client to close the connection when the router is stopping. It does the same when the
// request's context is cancelled but the client can still be answered: net/http has cancelled the context of the whole
// connection, so that the client of each later request would appear to have left.
func (x *exchange) setConnectionClose(h http.Header) {
	if x.handler.stopping() || x.ctx.Err() != nil {
		h.Set("Connection", "close")
	}
}

// lineOverhead is the size of the colon, the space and the line end of a header field, in bytes.
const lineOverhead = 4

// headerSize returns approximately how many bytes the client sent before the body.
func headerSize(r *http.Request) (n int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + lineOverhead
		}
	}
	return n
}
