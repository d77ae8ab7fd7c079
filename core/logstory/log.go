package logstory

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

// Line is one event of one router.
type Line struct {
	At    time.Time
	VM    string
	Event event.Name
	// Fields are all others, by name.
	Fields map[field.Name]string
	// Text is the line as it was written.
	Text string
	// Words are, in a story, what the line says beyond its fields' names: of the connection that a request came on, and of the
	// process before one that has started; empty where there is nothing to say.
	Words []string
}

// Log is the lines of one or more routers, by time; the zero value has none.
type Log struct {
	lines   []Line
	skipped int
}

// longestLine bounds a line in bytes; what a router writes is some hundred.
const longestLine = 1 << 20

// Read adds the lines of a file. What is not a line of a router is counted and left out.
func (l *Log) Read(r io.Reader) (err error) {
	defer annotate.Error(&err, "read logs")
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		line, ok := parse(s.Text())
		if !ok {
			l.skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].At.Before(l.lines[j].At) })
	return s.Err()
}

// Len is how many lines there are, Skipped how many were not of a router.
func (l *Log) Len() int { return len(l.lines) }

// Skipped is how many lines were left out.
func (l *Log) Skipped() int { return l.skipped }

// parse reads a line from its first field on; what a collector has put before it is left out.
func parse(text string) (line Line, ok bool) {
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
	line.At, line.VM, line.Event = at, line.Fields[field.VM], event.Name(line.Fields[field.Event])
	return line, true
}

// beliefs are the events that change what a router believes of the fleet as a whole.
var beliefs = map[event.Name]bool{
	event.ConfigurationInForce: true, event.StoreLost: true, event.StoreRegained: true, event.HubFollowed: true,
	event.HubLost: true, event.Started: true, event.Stopping: true,
}

// Story is what the logs tell of the request: its own lines, and before each what the router had last come to believe of
// the store, the hub, the configuration, and the endpoints that the request went to.
func (l *Log) Story(request string) (lines []Line) {
	for i, line := range l.lines {
		if line.Fields[field.Request] != request {
			continue
		}
		before := l.background(i)
		line.Words = words(line, before)
		lines = append(lines, before...)
		lines = append(lines, line)
	}
	return lines
}

// startWithin is how long before its line that it has started a process may have written others.
const startWithin = time.Second

// background are the latest lines of each kind, of the process of line i, before it. What the process before on the same VM
// believed is gone with it, and would make this one look as if it had known it.
func (l *Log) background(i int) (lines []Line) {
	of := l.lines[i]
	chosen := map[string]bool{}
	for _, id := range strings.Split(of.Fields[field.Endpoints], ",") {
		chosen[id] = id != ""
	}
	seen := map[string]bool{}
	var since time.Time
	for j := i - 1; j >= 0; j-- {
		line := l.lines[j]
		if line.VM == of.VM && (line.At.Before(since) || line.Event == event.Stopped) {
			break
		}
		kind := string(line.Event) + line.Fields[field.Topic]
		id := line.Fields[field.Endpoint]
		if id != "" {
			kind = id
		}
		if line.VM != of.VM || seen[kind] || !beliefs[line.Event] && !chosen[id] {
			continue
		}
		seen[kind] = true
		if line.Event == event.Started {
			since = line.At.Add(-startWithin)
			line.Words = l.wordsOnStart(j)
		}
		lines = append([]Line{line}, lines...)
	}
	return lines
}
