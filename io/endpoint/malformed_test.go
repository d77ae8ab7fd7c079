package endpoint_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/outcome"
	"savoryfall/io/endpoint"
)

// Guards against bytes that callers get as a response and that are none, by their status or by a field.
func TestMalformedResponses(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":                   "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"status 099":                   "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",
		"status with a sign":           "HTTP/1.1 +20 X\r\nContent-Length: 2\r\n\r\nok",
		"status 600":                   "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok",
		"blank before a colon":         "HTTP/1.1 200 X\r\nContent-Length : 2\r\n\r\nok",
		"blank in a name":              "HTTP/1.1 200 X\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"response within a reason":     "HTTP/1.1 200 HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nok",
		"response within a value":      "HTTP/1.1 200 X\r\nX-Load: 3,HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value":      "HTTP/1.1 200 X\r\nX: \x01\r\nContent-Length: 2\r\n\r\nok",
		"head that stops in a number":  "HTTP/1.1 200 X\r\nContent-Length: 2",
		"head that stops after a line": "HTTP/1.1 200 X\r\nContent-Length: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := answering(t, answer, func(c *net.TCPConn) { _ = c.CloseWrite() })
			_, err := endpoint.New(nil).Do(t.Context(), endpoint.Call{Address: address, Method: http.MethodGet, Path: "/x"})
			var f *endpoint.AttemptError
			assert.Assert(t, errors.As(err, &f))
			assert.Equal(t, f.Outcome, outcome.Unknown)
		})
	}
}
