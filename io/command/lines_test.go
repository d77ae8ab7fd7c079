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
	"savoryfall/io/stdout"
)

// output is what a process has written so far.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// random are the parts of a line that differ between two runs.
var random = []struct {
	pattern *regexp.Regexp
	by      string
}{
	{regexp.MustCompile(`^ts=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z `), "ts=<time> "},
	{regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), "<address>"},
	{regexp.MustCompile(`\b(ms|born|failures|afterMs|readAgeMs|offset)=-?\d+`), "$1=<n>"},
	{regexp.MustCompile(`err="(\\.|[^"\\])*"`), `err="<text>"`},
}

// Collectors and people's searches go by the names and the order of the fields, so a line of each kind that an ordinary
// life of a process brings is compared to the byte, but for its random values.
func TestLinesStayAsTheyAre(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 0)
	out := &output{}
	file := filepath.Join(t.TempDir(), "vm.toml")
	cfg, err := settings.ParseEntry(file, f.settingsWith(time.Second))
	assert.NilError(t, err)
	vm, err := newEntryVM(cfg, stdout.New(out))
	assert.NilError(t, err)
	assert.NilError(t, vm.start(context.Background()))
	f.await("served", func() bool { return vm.front.Ready() && f.get(vm, "/read/x", "good").Status == 200 })
	told := func(event string) func() bool {
		return func() bool { return strings.Contains(out.String(), "event="+event+" ") }
	}
	assert.Equal(t, f.ask(vm, "GET", "/read/x", "bad", "wrong-key").Status, 401)
	assert.Equal(t, f.ask(vm, "GET", "/none/x", "good", "wrong-path").Status, 404)
	f.servers["q0"].Leave()
	f.store.Put("keyed.servers", "q0", nil)
	f.store.Put("keyed.servers", "odd", []byte("["))
	f.store.Put("keyed.op", "config", []byte("{"))
	f.configure(4, "good", "plain")
	for _, event := range []string{"endpointGone", "entryUnreadable", "configurationUnreadable", "configurationInForce version=4"} {
		f.await(event, told(event))
	}
	f.store.SetDown(true)
	f.await("lost", told("storeLost topic=configuration"))
	f.await("lost", told("storeLost topic=registry"))
	f.store.SetDown(false)
	f.await("regained", told("storeRegained topic=configuration"))
	f.await("regained", told("storeRegained topic=registry"))
	assert.NilError(t, os.WriteFile(file, []byte("["), 0o600))
	vm.reload(file, []byte("["))
	vm.reload(file, f.settingsWith(1500*time.Millisecond))
	assert.NilError(t, vm.stop())
	assert.Equal(t, kinds(out.String()), strings.TrimPrefix(wantLines, "\n"))
}

// chance are lines that there may be or not: of a store that is down for a moment, and of the requests that wait for the
// first endpoint.
var chance = regexp.MustCompile(`event=(notListed|routersUnknown) |request=r\d+ `)

// kinds are the different lines, their random values made equal, in the order of the alphabet.
func kinds(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		for _, r := range random {
			line = r.pattern.ReplaceAllString(line, r.by)
		}
		if !chance.MatchString(line) {
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
ts=<time> vm=vm0 event=endpointGone endpoint=q0 service=other address=<address>
ts=<time> vm=vm0 event=endpointUsable endpoint=m0 service=models address=<address> born=<n>
ts=<time> vm=vm0 event=endpointUsable endpoint=m1 service=models address=<address> born=<n>
ts=<time> vm=vm0 event=endpointUsable endpoint=m2 service=models address=<address> born=<n>
ts=<time> vm=vm0 event=endpointUsable endpoint=p0 service=plain address=<address> born=<n>
ts=<time> vm=vm0 event=endpointUsable endpoint=p1 service=plain address=<address> born=<n>
ts=<time> vm=vm0 event=endpointUsable endpoint=p2 service=plain address=<address> born=<n>
ts=<time> vm=vm0 event=endpointUsable endpoint=q0 service=other address=<address> born=<n>
ts=<time> vm=vm0 event=entryUnreadable endpoint=odd offset=<n> err="<text>"
ts=<time> vm=vm0 event=hubFollowed hub=vm0 self=true reads=true routers=1
ts=<time> vm=vm0 event=requestRefused request=wrong-key route=read status=401 reason=unknownKey outcome=notRun backMs=0 sends=0 endpoints= version=1 readAgeMs=<n> ms=<n>
ts=<time> vm=vm0 event=requestRefused request=wrong-path route= status=404 reason=unknownRoute outcome=notRun backMs=0 sends=0 endpoints= version=1 readAgeMs=<n> ms=<n>
ts=<time> vm=vm0 event=settingsRefused err="<text>"
ts=<time> vm=vm0 event=settingsReloaded keyTerm=5s grace=1.5s
ts=<time> vm=vm0 event=started clients=<address> store=<address>
ts=<time> vm=vm0 event=stopped open=0 reading=0 serving=0
ts=<time> vm=vm0 event=stopping open=0
ts=<time> vm=vm0 event=storeLost topic=configuration err="<text>"
ts=<time> vm=vm0 event=storeLost topic=registry err="<text>"
ts=<time> vm=vm0 event=storeRegained topic=configuration failures=<n> afterMs=<n> offset=<n>
ts=<time> vm=vm0 event=storeRegained topic=registry failures=<n> afterMs=<n> offset=<n>
`
