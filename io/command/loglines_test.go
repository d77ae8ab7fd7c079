package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/settings"
	"savoryfall/io/logwriter"
)

// syncBuffer is a buffer that can be read while a process writes its log to it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *syncBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// randomValues matches the parts of a log line that differ between runs.
var randomValues = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`^ts=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z `), "ts=<time> "},
	{regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), "<address>"},
	{regexp.MustCompile(`\b(ms|born|failures|afterMs|readAgeMs|offset)=-?\d+`), "$1=<n>"},
	{regexp.MustCompile(`err="(\\.|[^"\\])*"`), `err="<text>"`},
}

// startLogged starts an entry VM, waits until it serves, and returns it with its settings file and its log.
func (f *entryFleet) startLogged(t *testing.T) (vm *entryVM, file string, logOutput *syncBuffer) {
	logOutput, file = &syncBuffer{}, filepath.Join(t.TempDir(), "vm.toml")
	cfg, err := settings.ParseEntry(file, f.settingsWithGrace(time.Second))
	assert.NilError(t, err)
	vm, err = newEntryVM(cfg, logwriter.New(logOutput))
	assert.NilError(t, err)
	assert.NilError(t, vm.start(context.Background()))
	f.waitFor("served", func() bool { return vm.handler.Ready() && f.get(vm, "/read/x", "good").Status == 200 })
	return vm, file, logOutput
}

// Log collectors and searches depend on the names and the order of the fields. Each kind of line that a process logs in
// normal operation must match exactly, except for values that differ between runs.
func TestLogLinesMatchGolden(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 0)
	vm, file, logOutput := f.startLogged(t)
	logged := func(event string) func() bool {
		return func() bool { return strings.Contains(logOutput.String(), "event="+event+" ") }
	}
	assert.Equal(t, f.send(vm, "GET", "/read/x", "bad", "wrong-key").Status, 401)
	assert.Equal(t, f.send(vm, "GET", "/none/x", "good", "wrong-path").Status, 404)
	f.endpoints["q0"].Drain()
	f.store.Put("keyed.servers", "q0", nil)
	f.store.Put("keyed.servers", "odd", []byte("["))
	f.store.Put("keyed.op", "config", []byte("{"))
	f.putConfiguration(4, "good", "plain")
	for _, event := range []string{"endpointGone", "entryUnreadable", "configurationUnreadable", "configurationInForce version=4"} {
		f.waitFor(event, logged(event))
	}
	f.store.SetDown(true)
	f.waitFor("lost", logged("storeLost topic=configuration"))
	f.waitFor("lost", logged("storeLost topic=registry"))
	f.store.SetDown(false)
	f.waitFor("regained", logged("storeRegained topic=configuration"))
	f.waitFor("regained", logged("storeRegained topic=registry"))
	assert.NilError(t, os.WriteFile(file, []byte("["), 0o600))
	vm.reload(file, []byte("["))
	vm.reload(file, f.settingsWithGrace(1500*time.Millisecond))
	assert.NilError(t, vm.stop())
	assert.Equal(t, distinctLines(logOutput.String()), strings.TrimPrefix(wantLines, "\n"))
}

// optionalLines matches lines that depend on timing: of a store that is briefly unavailable, and of requests that are
// sent until the first endpoint is known.
var optionalLines = regexp.MustCompile(`event=(notListed|routersUnknown|versionsUnavailable) |event=versionsRead .* versions=3 |request=r\d+ `)

// distinctLines replaces the random values and returns the distinct lines in sorted order.
func distinctLines(output string) string {
	var lines []string
	for line := range strings.Lines(output) {
		for _, r := range randomValues {
			line = r.pattern.ReplaceAllString(line, r.replacement)
		}
		if !optionalLines.MatchString(line) {
			lines = append(lines, line)
		}
	}
	slices.Sort(lines)
	return strings.Join(slices.Compact(lines), "")
}

const wantLines = `
ts=<time> vm=vm0 event=configurationInForce version=1 from=0 offset=<n> routes=3 idleMs=15000 headerMs=3000
ts=<time> vm=vm0 event=configurationInForce version=4 from=1 offset=<n> routes=3 idleMs=15000 headerMs=3000
ts=<time> vm=vm0 event=configurationUnreadable offset=<n> err="<text>"
ts=<time> vm=vm0 event=endpointGone endpoint=q0 service=other address=<address> born=<n> software=v1 leaving=false source=registry
ts=<time> vm=vm0 event=endpointUsable endpoint=m0 service=models address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=endpointUsable endpoint=m1 service=models address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=endpointUsable endpoint=m2 service=models address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=endpointUsable endpoint=p0 service=plain address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=endpointUsable endpoint=p1 service=plain address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=endpointUsable endpoint=p2 service=plain address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=endpointUsable endpoint=q0 service=other address=<address> born=<n> software=v1
ts=<time> vm=vm0 event=entryUnreadable endpoint=odd offset=<n> err="<text>"
ts=<time> vm=vm0 event=hubFollowed hub=vm0 self=true reads=true routers=1
ts=<time> vm=vm0 event=requestRefused request=wrong-key route=read status=401 reason=unknownKey outcome=notRun backMs=0 sends=0 endpoints= software= version=1 readAgeMs=<n> ms=<n>
ts=<time> vm=vm0 event=requestRefused request=wrong-path route= status=404 reason=unknownRoute outcome=notRun backMs=0 sends=0 endpoints= software= version=1 readAgeMs=<n> ms=<n>
ts=<time> vm=vm0 event=settingsRefused err="<text>"
ts=<time> vm=vm0 event=settingsReloaded keyTerm=5s grace=1.5s
ts=<time> vm=vm0 event=started clients=<address> store=<address>
ts=<time> vm=vm0 event=stopped open=0 reading=0 serving=0
ts=<time> vm=vm0 event=stopping open=0
ts=<time> vm=vm0 event=storeLost topic=configuration err="<text>"
ts=<time> vm=vm0 event=storeLost topic=registry err="<text>"
ts=<time> vm=vm0 event=storeRegained topic=configuration failures=<n> afterMs=<n> offset=<n>
ts=<time> vm=vm0 event=storeRegained topic=registry failures=<n> afterMs=<n> offset=<n>
ts=<time> vm=vm0 event=versionsRead offset=<n> generation=1 versions=0 coveredMs=600000 reason=
ts=<time> vm=vm0 event=versionsRecorded offset=<n> generation=1 versions=3 coveredMs=600000
`
