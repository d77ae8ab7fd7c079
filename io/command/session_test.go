package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"

	"savoryfall/io/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"savoryfall": func() {
		os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
	}})
}

// TestSessions runs the scripts in testdata/session, each command as its own process, and compares the output with
// golden text.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/session",
		Setup: func(e *testscript.Env) error {
			// By default, the race detector sleeps for a second at the exit of each process.
			e.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"port": pickPort, "waitfor": waitForOK, "call": call, "complete": complete,
			"expandenv": expandEnv, "normalize": normalize, "spans": spans,
		},
	})
}

// nextPort is the next port for a script. The ports are below the system's ephemeral range, so that no other socket
// takes one between the choice and the use.
var nextPort atomic.Int64

const (
	firstPort   = 21000
	lastPort    = 29000
	waitTimeout = 15 * time.Second
)

func pickPort(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freePort(ts))
	}
}

func freePort(ts *testscript.TestScript) string {
	start := firstPort + os.Getpid()%1000*8
	for range lastPort - firstPort {
		port := firstPort + (start-firstPort+int(nextPort.Add(1)))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			ts.Check(l.Close())
			return strconv.Itoa(port)
		}
	}
	ts.Fatalf("no free port")
	return ""
}

// waitForOK polls a URL until it answers 200.
func waitForOK(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get(args[0])
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	ts.Fatalf("no response with status 200 from %s", args[0])
}

// call makes one request and prints the answer: call METHOD URL [NAME=VALUE headers] [@FILE or text].
func call(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequest(args[0], args[1], nil)
	ts.Check(err)
	for _, a := range args[2:] {
		name, value, isHeader := strings.Cut(a, "=")
		switch {
		case strings.HasPrefix(a, "@"):
			r.Body = io.NopCloser(strings.NewReader(ts.ReadFile(a[1:])))
		case isHeader && !strings.HasPrefix(a, "{"):
			r.Header.Set(name, value)
		default:
			r.Body = io.NopCloser(strings.NewReader(a))
		}
	}
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	fmt.Fprintf(ts.Stdout(), "%d outcome=%s retryAfter=%s\n%s\n", resp.StatusCode, resp.Header.Get("Savoryfall-Outcome"),
		resp.Header.Get("Retry-After"), strings.TrimSpace(string(body)))
	if err != nil {
		fmt.Fprintf(ts.Stdout(), "response ended early: %v\n", err)
	}
}

// complete streams a completion with the OpenAI client and prints the complete text: complete BASE KEY MODEL TEXT.
func complete(ts *testscript.TestScript, _ bool, args []string) {
	c := openai.NewClient(option.WithBaseURL(args[0]+"/v1"), option.WithAPIKey(args[1]), option.WithMaxRetries(0))
	s := c.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model: args[2], Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(args[3])},
	})
	var all openai.ChatCompletionAccumulator
	for s.Next() {
		if !all.AddChunk(s.Current()) {
			fmt.Fprintln(ts.Stdout(), "inconsistent chunk")
		}
	}
	if s.Err() != nil {
		fmt.Fprintln(ts.Stdout(), "error:", s.Err())
		return
	}
	fmt.Fprintln(ts.Stdout(), all.Choices[0].FinishReason, strings.TrimSpace(all.Choices[0].Message.Content))
}

// expandEnv replaces $NAME in files by environment variables: expandenv FILE...
func expandEnv(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

var normalizations = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\bts=\S+ `), ""},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`(\w*[mM]s)=-?\d+`), "$1=<n>"},
	{regexp.MustCompile(`incarnation=\w+`), "incarnation=<incarnation>"},
	{regexp.MustCompile(`digest=[0-9a-f]{16}`), "digest=<digest>"},
	{regexp.MustCompile(`digest [0-9a-f]{16}`), "digest <digest>"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<address>"},
	{regexp.MustCompile(`"created":\d+`), `"created":<time>`},
	{regexp.MustCompile(`after \d+\.\d+ s`), "after <n> s"},
	{regexp.MustCompile(`from the (log|peer)`), "from the <source>"},
	{regexp.MustCompile(`source=(log|peer)`), "source=<source>"},
}

// normalize prints a file with placeholders for values that differ between runs: normalize FILE [PATTERN of lines to
// keep].
func normalize(ts *testscript.TestScript, _ bool, args []string) {
	keep := regexp.MustCompile("")
	if len(args) > 1 {
		keep = regexp.MustCompile(args[1])
	}
	for line := range strings.Lines(ts.ReadFile(args[0])) {
		if !keep.MatchString(line) {
			continue
		}
		for _, n := range normalizations {
			line = n.pattern.ReplaceAllString(line, n.replacement)
		}
		fmt.Fprint(ts.Stdout(), line)
	}
}

type span struct {
	Name        string
	StartTime   time.Time
	SpanContext struct{ SpanID, TraceID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// spans prints the trace spans in a file as trees, ordered by start time: spans FILE.
func spans(ts *testscript.TestScript, _ bool, args []string) {
	var all []span
	d := json.NewDecoder(strings.NewReader(ts.ReadFile(args[0])))
	for {
		var s span
		if d.Decode(&s) != nil {
			break
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	for _, s := range all {
		if !slices.ContainsFunc(all, func(p span) bool { return p.SpanContext.SpanID == s.Parent.SpanID }) {
			printSpan(ts.Stdout(), all, s, "")
		}
	}
}

func printSpan(w io.Writer, all []span, s span, indent string) {
	var line bytes.Buffer
	fmt.Fprintf(&line, "%s%s", indent, s.Name)
	for _, a := range s.Attributes {
		fmt.Fprintf(&line, " %s=%v", a.Key, a.Value.Value)
	}
	text := line.String()
	for _, n := range normalizations {
		text = n.pattern.ReplaceAllString(text, n.replacement)
	}
	fmt.Fprintln(w, text)
	for _, child := range all {
		if child.Parent.SpanID == s.SpanContext.SpanID {
			printSpan(w, all, child, indent+"  ")
		}
	}
}
