package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// answering returns a pool whose endpoints write the bytes to each request and then end the connection.
func answering(answer string) *Pool {
	return NewPool(func(context.Context, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer func() { _ = there.Close() }()
			req, err := http.ReadRequest(newConn(there).r)
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(there, answer)
			}
		}()
		return here, nil
	})
}

// ask sends a request, and returns the response's body if it is whole.
func ask(p *Pool, method string) (resp *Response, body string, err error) {
	resp, err = p.Do(context.Background(), requestFor(method))
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	data, err := resp.ReadAll(1<<20, nil)
	return resp, string(data), err
}

const length2 = "Id: 1\r\nContent-Length: 2\r\n"

// Guards against bytes that are taken for a response and are none: by the grammar their status, their fields or the end of their
// body is not known.
func TestMalformedHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":                       "HTTP/1.1 000 X\r\n" + length2 + "\r\nok",
		"status 099":                       "HTTP/1.1 099 X\r\n" + length2 + "\r\nok",
		"status 600":                       "HTTP/1.1 600 X\r\n" + length2 + "\r\nok",
		"status with a sign":               "HTTP/1.1 +20 X\r\n" + length2 + "\r\nok",
		"status of two digits":             "HTTP/1.1 20 X\r\n" + length2 + "\r\nok",
		"status of four digits":            "HTTP/1.1 2000 X\r\n" + length2 + "\r\nok",
		"status that ends in a letter":     "HTTP/1.1 20a X\r\n" + length2 + "\r\nok",
		"two blanks before the status":     "HTTP/1.1  200 X\r\n" + length2 + "\r\nok",
		"no status":                        "HTTP/1.1\r\n" + length2 + "\r\nok",
		"another version":                  "HTTP/2.0 200 X\r\n" + length2 + "\r\nok",
		"control byte in the reason":       "HTTP/1.1 200 X\x01\r\n" + length2 + "\r\nok",
		"bare CR in the reason":            "HTTP/1.1 200 X\rY\r\n" + length2 + "\r\nok",
		"empty line first":                 "\r\n" + okLine + length2 + "\r\nok",
		"blank before a colon":             okLine + "Id: 1\r\nContent-Length : 2\r\n\r\nok",
		"tab before a colon":               okLine + "Id: 1\r\nContent-Length\t: 2\r\n\r\nok",
		"blank before the colon of chunks": okLine + "Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in a name":                  okLine + length2 + "X Y: 1\r\n\r\nok",
		"control byte in a name":           okLine + length2 + "X\x01Y: 1\r\n\r\nok",
		"NUL in a name":                    okLine + length2 + "X\x00: 1\r\n\r\nok",
		"byte beyond ASCII in a name":      okLine + length2 + "X\xe9: 1\r\n\r\nok",
		"empty name":                       okLine + length2 + ": 1\r\n\r\nok",
		"line without a colon":             okLine + length2 + "X\r\n\r\nok",
		"continued line":                   okLine + length2 + "X: 1\r\n 2\r\n\r\nok",
		"blank first line":                 okLine + " X: 1\r\n" + length2 + "\r\nok",
		"control byte in a value":          okLine + length2 + "X: 1\x012\r\n\r\nok",
		"DEL in a value":                   okLine + length2 + "X: 1\x7f2\r\n\r\nok",
		"bare CR in a value":               okLine + length2 + "X: 1\r2\r\n\r\nok",
		"two lengths":                      okLine + length2 + "Content-Length: 3\r\n\r\nok",
		"list of lengths":                  okLine + "Id: 1\r\nContent-Length: 2, 2\r\n\r\nok",
		"length with a sign":               okLine + "Id: 1\r\nContent-Length: +2\r\n\r\nok",
		"empty length":                     okLine + "Id: 1\r\nContent-Length:\r\n\r\nok",
		"length beyond 64 bits":            okLine + "Id: 1\r\nContent-Length: 99999999999999999999\r\n\r\nok",
		"length and chunks":                okLine + length2 + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"two codings":                      okLine + "Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"another coding":                   okLine + "Id: 1\r\nTransfer-Encoding: gzip\r\n\r\nok",
		"chunks of HTTP/1.0":               "HTTP/1.0 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"response within a value":          okLine + length2 + "X: 3,HTTP/1.1 500 Internal Server Error\r\n\r\nok",
		"response within a reason":         "HTTP/1.1 200 " + okLine + length2 + "\r\nok",
		"malformed interim response":       "HTTP/1.1 103 X\r\nX : 1\r\n\r\n" + okLine + length2 + "\r\nok",
		"malformed other response":         "HTTP/1.1 200 X\r\nId: 2\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n" + okLine + length2 + "\r\nok",
		"malformed trailer":                okLine + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := answering(answer)
			_, body, err := ask(p, "GET")
			assert.Assert(t, err != nil, "%q is whole", body)
			var failed *AttemptError
			assert.Assert(t, !errors.As(err, &failed) || failed.MaybeSent)
			assert.Equal(t, len(p.idle), 0)
		})
	}
}

// Guards against a response that stops at any byte of its head or its body and is taken for whole.
func TestResponseThatStops(t *testing.T) {
	for _, answer := range []string{
		okLine + length2 + "X-Last: 12\r\n\r\nok", okLine + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 X\r\nX: 1\r\n\r\n" + okLine + length2 + "\r\nok",
	} {
		for n := range len(answer) {
			_, body, err := ask(answering(answer[:n]), "GET")
			assert.Assert(t, err != nil, "%q: %q is whole", answer[:n], body)
		}
		_, body, err := ask(answering(answer), "GET")
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against a copy of an earlier response that is broken off at any byte and gives its status to the next response.
func TestBrokenCopyBeforeResponse(t *testing.T) {
	const dated = "Date: Mon, 07 Dec 2026 00:00:00 GMT\r\nX-Load: 3,0,8\r\n"
	copied := "HTTP/1.1 500 Internal Server Error\r\n" + dated + "Id: 0\r\nContent-Length: 2\r\n\r\nno"
	for n := range len(copied) {
		resp, body, err := ask(answering(copied[:n]+okLine+dated+length2+"\r\nok"), "GET")
		if err == nil {
			assert.Equal(t, resp.Status, 200, "%q", copied[:n])
			assert.Equal(t, body, "ok", "%q", copied[:n])
		}
	}
}

// Guards against responses of sound endpoints that are refused.
func TestWellFormedHeads(t *testing.T) {
	for name, c := range map[string]struct {
		answer, method string
		status         int
		body           string
	}{
		"no reason":              {answer: "HTTP/1.1 200\r\n" + length2 + "\r\nok", status: 200, body: "ok"},
		"empty reason":           {answer: "HTTP/1.1 200 \r\n" + length2 + "\r\nok", status: 200, body: "ok"},
		"bytes beyond ASCII":     {answer: "HTTP/1.1 200 \xe9\r\n" + length2 + "X: \xe9\t1\r\n\r\nok", status: 200, body: "ok"},
		"line ends without CR":   {answer: "HTTP/1.1 200 X\nId: 1\nContent-Length: 2\n\nok", status: 200, body: "ok"},
		"blanks around a value":  {answer: okLine + "Id:1 \t\r\nContent-Length:\t2 \r\n\r\nok", status: 200, body: "ok"},
		"the same length twice":  {answer: okLine + length2 + "Content-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		"status 599":             {answer: "HTTP/1.1 599 X\r\n" + length2 + "\r\nok", status: 599, body: "ok"},
		"HTTP/1.0":               {answer: "HTTP/1.0 200 X\r\nId: 1\r\n\r\nok", status: 200, body: "ok"},
		"no length":              {answer: okLine + "Id: 1\r\n\r\nok", status: 200, body: "ok"},
		"no content":             {answer: "HTTP/1.1 204 X\r\nId: 1\r\n\r\n", status: 204},
		"not modified":           {answer: "HTTP/1.1 304 X\r\n" + length2 + "\r\n", status: 304},
		"HEAD":                   {answer: okLine + length2 + "\r\n", method: "HEAD", status: 200},
		"chunks":                 {answer: okLine + "Id: 1\r\nTransfer-Encoding: Chunked\r\n\r\n1;x=y\r\no\r\n1\r\nk\r\n0\r\nX: y\r\n\r\n", status: 200, body: "ok"},
		"interim responses":      {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: </x>\r\n\r\n" + okLine + length2 + "\r\nok", status: 200, body: "ok"},
		"every byte of a token":  {answer: okLine + length2 + "!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\nok", status: 200, body: "ok"},
		"protocol within values": {answer: okLine + length2 + "Via: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\n\r\nok", status: 200, body: "ok"},
	} {
		if c.method == "" {
			c.method = "GET"
		}
		resp, body, err := ask(answering(c.answer), c.method)
		assert.NilError(t, err, name)
		assert.Equal(t, resp.Status, c.status, name)
		assert.Equal(t, body, c.body, name)
	}
}

// grammar is the head of a response by RFC 9110 and RFC 9112, in which a line may end without a CR.
var grammar = regexp.MustCompile("^HTTP/1\\.[01] [1-5][0-9]{2}( [\\t\\x20-\\x7e\\x{80}-\\x{ff}]*)?\\r?\\n" +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x{80}-\\x{ff}]*\\r?\\n)*\\r?\\n")

// No bytes that the grammar calls no response may be whole, nor may the reader differ from a lenient one in what it takes for one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		okLine + length2 + "\r\nok", "HTTP/1.0 404 X\nId: 1\n\nno", okLine + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 000 X\r\nId: 1\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 \nTrAnsfer-EnCoding:Chunked\n\n2\r\n00\r\n0\r\n\n", "HTTP/1.1 204 X\r\nId: 1\r\n\r\n", okLine + "Id: 1\r\nConnection: close\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		c := &conn{r: bufio.NewReader(bytes.NewReader(data))}
		c.limit.budget = &headBudget{}
		h, err := c.readHead(method)
		if err != nil {
			return
		}
		body, err := io.ReadAll(newBody(h, c.r))
		assert.Assert(t, grammar.MatchString(latin1(data)), "%q", data)
		lenient, lenientErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), &http.Request{Method: method})
		assert.NilError(t, lenientErr)
		assert.Equal(t, h.status, lenient.StatusCode)
		for name, values := range lenient.Header {
			if name != "Trailer" {
				assert.DeepEqual(t, dedupe(h.header[name]), dedupe(values))
			}
		}
		lenientBody, lenientErr := io.ReadAll(lenient.Body)
		if err == nil {
			assert.NilError(t, lenientErr)
			assert.Equal(t, string(body), string(lenientBody))
		}
	})
}

// latin1 returns the bytes as a text with a character for each, as the grammar counts them.
func latin1(data []byte) string {
	var b strings.Builder
	for _, c := range data {
		b.WriteRune(rune(c))
	}
	return b.String()
}

func dedupe(values []string) (one []string) {
	for _, v := range values {
		if len(one) == 0 || one[len(one)-1] != v {
			one = append(one, v)
		}
	}
	return one
}
