package loganalysis

import (
	"bufio"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"savoryfall/core/annotate"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

// Line is one log line of a router.
type Line struct {
	Time  time.Time
	VM    string
	Event event.Name
	// Fields holds all fields of the line by name.
	Fields map[field.Name]string
	// Text is the line as logged, starting at its first field.
	Text string
	// Explanation explains the line in sentences. It is set only by Explain, for lines that describe the end of a
	// client's connection, and for the start of a process after another that did not shut down cleanly.
	Explanation []string
}

// Log holds the lines of one or more routers, sorted by time. The zero value is empty.
type Log struct {
	lines   []Line
	skipped int
}

// maxLineBytes bounds the length of a line; routers write lines of a few hundred bytes.
const maxLineBytes = 1 << 20

// Read adds the lines of a file. Lines that were not written by a router are counted and skipped.
func (l *Log) Read(r io.Reader) (err error) {
	defer annotate.Error(&err, "read logs")
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line, ok := parseLine(s.Text())
		if !ok {
			l.skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].Time.Before(l.lines[j].Time) })
	return s.Err()
}

// Len returns the number of lines.
func (l *Log) Len() int { return len(l.lines) }

// Skipped returns the number of skipped lines.
func (l *Log) Skipped() int { return l.skipped }

// parseLine parses a line from its first field on. Anything that a log collector put before it is ignored.
func parseLine(text string) (line Line, ok bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return line, false
	}
	line = Line{Fields: map[field.Name]string{}, Text: text[start:]}
	d := logfmt.NewDecoder(strings.NewReader(line.Text))
	d.ScanRecord()
	for d.ScanKeyval() {
		line.Fields[field.Name(d.Key())] = string(d.Value())
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields[field.Time])
	if err != nil || d.Err() != nil || line.Fields[field.Event] == "" {
		return line, false
	}
	line.Time, line.VM, line.Event = at, line.Fields[field.VM], event.Name(line.Fields[field.Event])
	return line, true
}

// stateEvents are the events that change a router's view of the fleet as a whole.
var stateEvents = map[event.Name]bool{
	event.ConfigurationInForce: true, event.StoreLost: true, event.StoreRegained: true, event.HubFollowed: true,
	event.HubLost: true, event.Started: true, event.Stopping: true, event.StoreRestored: true, event.ServiceUnreachable: true,
	event.ServiceReachable: true, event.ReadinessChanged: true,
}

// Explain returns the lines of the request. Each is preceded by the newest earlier lines that show the router's view of
// the store, the hub, the configuration and the endpoints that were chosen for the request.
func (l *Log) Explain(request string) (lines []Line) {
	for i, line := range l.lines {
		if line.Fields[field.Request] != request {
			continue
		}
		before := l.precedingState(i)
		line.Explanation = append(explainEnding(line, before), explainUnreachable(line)...)
		lines = append(lines, before...)
		lines = append(lines, line)
	}
	return lines
}

// startupWindow is how long before its line that it has started a process may have written other lines.
const startupWindow = time.Second

// precedingState returns the newest line of each kind that the process of line i wrote before it. It stops at the start
// of that process: what an earlier process on the same VM knew was lost with it, and would make it look as if this
// process had known it.
func (l *Log) precedingState(i int) (lines []Line) {
	current := l.lines[i]
	chosen := map[string]bool{}
	for _, id := range strings.Split(current.Fields[field.Endpoints], ",") {
		chosen[id] = id != ""
	}
	seen := map[string]bool{}
	var notBefore time.Time
	for j := i - 1; j >= 0; j-- {
		line := l.lines[j]
		if line.VM == current.VM && (line.Time.Before(notBefore) || line.Event == event.Stopped) {
			break
		}
		kind := string(line.Event) + line.Fields[field.Topic]
		id := line.Fields[field.Endpoint]
		if id != "" {
			kind = id
		}
		if line.VM != current.VM || seen[kind] || !stateEvents[line.Event] && !chosen[id] {
			continue
		}
		seen[kind] = true
		if line.Event == event.Started {
			notBefore = line.Time.Add(-startupWindow)
			line.Explanation = l.explainStart(j)
		}
		lines = append([]Line{line}, lines...)
	}
	return lines
}
