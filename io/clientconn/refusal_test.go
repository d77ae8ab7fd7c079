package clientconn

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that differs with how much of the request has arrived.
func TestRefusalHasOneForm(t *testing.T) {
	for _, r := range refusals {
		sent, err := http.ReadResponse(bufio.NewReader(strings.NewReader(r.text())), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(sent.Body)
		assert.NilError(t, err)
		assert.NilError(t, sent.Body.Close())
		assert.Equal(t, len(body), 0)
		assert.Assert(t, sent.Close)
		w := httptest.NewRecorder()
		r.write(w)
		assert.Equal(t, w.Code, sent.StatusCode)
		for _, name := range []string{"Retry-After", "Content-Length"} {
			assert.Equal(t, w.Header().Get(name), sent.Header.Get(name))
		}
	}
}
