package command

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withdrawalLines matches the lines about endpoints that want no requests, and about a store that was restored.
var withdrawalLines = regexp.MustCompile(`event=(endpointPaused|endpointResumed|endpointLeaving|endpointGone|storeRestored|routerListRestored) `)

// variableFields matches the values in these lines that differ between runs.
var variableFields = regexp.MustCompile(`\b(request|want|refusals)=\S+`)

// Each kind of these lines must match exactly, except for values that differ between runs.
func TestLinesOfWithdrawnEndpointsAndRestoredStoreMatchGolden(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 0)
	vm, _, logOutput := f.startLogged(t)
	logs := func(event string) func() bool {
		return func() bool {
			f.get(vm, "/read/x", "good")
			return strings.Contains(logOutput.String(), "event="+event+" ")
		}
	}
	f.endpoints["p0"].RefuseAll(300 * time.Millisecond)
	f.waitFor("paused", logs("endpointPaused"))
	f.endpoints["p0"].RefuseAll(0)
	f.waitFor("resumed", logs("endpointResumed"))
	f.endpoints["p1"].AnnounceLeaving()
	f.waitFor("leaving", logs("endpointLeaving"))
	f.store.Restore(map[string]int{"keyed.op": 0, "keyed.servers": 0, "keyed.routers": 1})
	f.waitFor("configuration restored", logs("storeRestored topic=configuration"))
	f.waitFor("registry restored", logs("storeRestored topic=registry"))
	f.waitFor("list restored", logs("routerListRestored"))
	assert.NilError(t, vm.stop())
	var lines []string
	for line := range strings.Lines(distinctLines(variableFields.ReplaceAllString(logOutput.String(), "$1=<any>"))) {
		if withdrawalLines.MatchString(line) {
			lines = append(lines, line)
		}
	}
	assert.Equal(t, strings.Join(lines, ""), strings.TrimPrefix(wantWithdrawalLines, "\n"))
}

const wantWithdrawalLines = `
ts=<time> vm=vm0 event=endpointGone endpoint=p1 service=plain address=<address> born=<n> software=v1 leaving=true source=answer
ts=<time> vm=vm0 event=endpointLeaving endpoint=p1 service=plain born=<n> source=answer request=<any> status=200
ts=<time> vm=vm0 event=endpointPaused endpoint=p0 service=plain born=<n> pauseMs=300 source=answer request=<any> status=503
ts=<time> vm=vm0 event=endpointResumed endpoint=p0 service=plain born=<n> afterMs=<n> refusals=<any>
ts=<time> vm=vm0 event=routerListRestored generation=2 routers=1
ts=<time> vm=vm0 event=storeRestored topic=configuration generation=2 from=1 want=<any> offset=<n>
ts=<time> vm=vm0 event=storeRestored topic=registry generation=2 from=1 want=<any> offset=<n>
`
