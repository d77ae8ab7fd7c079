package command

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/testclient"
)

// The demo serves a request of each kind once its routers have read the store.
func TestPlatformDemo(t *testing.T) {
	t.Parallel()
	d := &platformDemo{}
	defer d.stop()
	assert.NilError(t, d.start(context.Background(), streams{out: io.Discard, err: io.Discard}, true))
	send := func(method, path string) testclient.Response {
		return testclient.Send(d.vms[0].clientServer.Address(), testclient.Request{Method: method, Host: "demo.example", Path: path, ID: path, Key: "demo"})
	}
	f := &entryFleet{t: t}
	f.waitFor("ready", func() bool { return send("GET", "/read/x").Status == 200 })
	assert.Equal(t, send("POST", "/book/x").Status, 200)
	got := send("POST", "/draft/x")
	assert.Assert(t, got.Complete)
	assert.Equal(t, strings.Count(got.Body, "data: piece"), 40)
}
