package command_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/platform/standin/fakestore"
	"savoryfall/platform/standin/testclient"
)

const (
	// endlessClients call one router, and memoryLimitMB is what its machine has.
	endlessClients = 36
	memoryLimitMB  = 284
	// endlessShare is the share of the answers of a faulty endpoint that do not end.
	endlessShare = 3
)

// endlessAnswers are the beginnings of answers, and what follows them until the caller closes.
var endlessAnswers = map[string][2]string{
	"line":      {"HTTP/1.1 200 OK\r\nX: ", endlessFiller},
	"lines":     {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Y: "+endlessFiller[:60]+"\r\n", 100)},
	"no answer": {endlessFiller, endlessFiller},
	"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1900\r\n" + endlessFiller + "\r\n"},
	"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", endlessFiller},
	"to close":  {"HTTP/1.1 200 OK\r\n\r\n", endlessFiller},
	"event":     {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", endlessFiller},
	"interim":   {"HTTP/1.1 103 Early Hints\r\nLink: ", endlessFiller},
	"trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", endlessFiller},
	"extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1900;", endlessFiller},
	"refusal":   {"HTTP/1.1 503 Service Unavailable\r\nX-Savoryfall-Not-Executed: 1\r\nContent-Length: 1099511627776\r\n\r\n", endlessFiller},
}

var endlessFiller = strings.Repeat("0123456789abcdef", 0x1900/16)

// endlessEndpoint is an endpoint some of whose answers do not end. Health checks meet these as requests do.
type endlessEndpoint struct {
	id, address string
	kind        atomic.Pointer[[2]string]
	received    atomic.Int64
	// endless are the ids of the requests whose answers did not end.
	endless sync.Map
}

func newEndlessEndpoint(t *testing.T, id string) (s *endlessEndpoint) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s = &endlessEndpoint{id: id, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *endlessEndpoint) entry(sequence int) []byte {
	return fmt.Appendf(nil, `{"service":"plain","address":%q,"zone":"a","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"sequence":%d,"born":1}`, s.address, sequence)
}

func (s *endlessEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Savoryfall-Attempt-Id")
		if kind := s.kind.Load(); kind != nil && s.received.Add(1)%endlessShare == 0 {
			s.endless.Store(id, true)
			s.writeWithoutEnd(c, *kind, id)
			return
		}
		time.Sleep(5 * time.Millisecond)
		body := "id: 1\ndata: body\n\n"
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Savoryfall-Attempt-Id: %s\r\nX-Savoryfall-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		if err != nil {
			return
		}
	}
}

func (s *endlessEndpoint) writeWithoutEnd(c net.Conn, kind [2]string, id string) {
	begin := strings.Replace(kind[0], "\r\n", "\r\nX-Savoryfall-Attempt-Id: "+id+"\r\nX-Savoryfall-Server-Signature: s\r\n", 1)
	_, err := io.WriteString(c, begin)
	for err == nil {
		_, err = io.WriteString(c, kind[1])
	}
}

const endlessConfiguration = `{"version":1,"routes":[
	{"name":"read","host":"shop.example","path_prefix":"/read/","type":"idempotent","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3},
	{"name":"book","host":"shop.example","path_prefix":"/book/","type":"non_idempotent","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3},
	{"name":"draft","host":"shop.example","path_prefix":"/draft/","type":"streaming","timeout_ms":3000,"goal_ms":100,"service":"plain","max_attempts":3}],
	"services":[{"name":"plain","max_conns":400}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"coop","api_keys":["good"]}]}`

// residentMB returns the resident memory of a process that belongs to no file.
func residentMB(t *testing.T, pid int) (mb int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if rest, is := strings.CutPrefix(line, "RssAnon:"); is {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			assert.NilError(t, err)
			return kb >> 10
		}
	}
	return 0
}

// Guards against a router that is ended for its memory, and the requests with it, by answers that do not end, and against refusals that
// say that a request has not run because its answer did not end. ENDLESS_SECONDS is how long each kind is played.
func TestAnswersWithoutEnd(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("ENDLESS_SECONDS"))
	if err != nil {
		seconds = 1
	}
	for name, kind := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			untrue := playEndless(t, kind, time.Duration(seconds)*time.Second)
			// The head of a refusal says itself that the request has not run.
			assert.Assert(t, untrue == 0 || name == "refusal", "%d requests", untrue)
		})
	}
}

// playEndless returns how many requests whose answer did not end were answered as if they had not run.
func playEndless(t *testing.T, kind [2]string, d time.Duration) int64 {
	var store fakestore.Service
	storeServer := httptest.NewServer(&store)
	t.Cleanup(storeServer.Close)
	store.Put("keyed.op", "config", []byte(endlessConfiguration))
	var faulty []*endlessEndpoint
	for i := range 4 {
		s := newEndlessEndpoint(t, fmt.Sprint("i", i))
		store.Put("keyed.servers", s.id, s.entry(1))
		if i%2 == 0 {
			faulty = append(faulty, s)
		}
	}
	settings := strings.Replace(entrySettings, "127.0.0.1:1", strings.TrimPrefix(storeServer.URL, "http://"), 1)
	settings = strings.Replace(settings, "[clients]", fmt.Sprintf("memoryMB = %d\n[clients]", memoryLimitMB), 1)
	cmd, lines, _, address := startRouter(t, "entry", settings)
	go func() {
		for lines.Scan() {
		}
	}()
	send := func(method, path, id string) testclient.Response {
		return testclient.Send(address, testclient.Request{Method: method, Host: "shop.example", Path: path, ID: id, Key: "good", Prompt: testclient.NoPrompt})
	}
	for send("GET", "/read/x", "first").Status != 200 {
		time.Sleep(10 * time.Millisecond)
	}
	for _, s := range faulty {
		s.kind.Store(&kind)
	}
	until := time.Now().Add(d)
	var clients sync.WaitGroup
	var asked, served, unanswered, untrue atomic.Int64
	for n := range endlessClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("c%dr%d", n, i)
				method, path := "GET", "/read/x"
				if n%3 > 0 {
					method, path = "POST", []string{"", "/book/x", "/draft/x"}[n%3]
				}
				r := send(method, path, id)
				asked.Add(1)
				_, hit0 := faulty[0].endless.Load(id)
				_, hit1 := faulty[1].endless.Load(id)
				switch {
				case r.Status == 200 && r.Complete:
					served.Add(1)
				case r.Status == 0:
					unanswered.Add(1)
				case n%3 == 1 && (hit0 || hit1) && (r.Status == 503 || r.Status == 429 || r.Status == 408 || r.Status == 421):
					untrue.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	peak := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(2 * time.Millisecond):
		}
		peak = max(peak, residentMB(t, cmd.Process.Pid))
	}
	t.Logf("%d requests, %d served, %d without an answer, %d refused untruly; %d MB", asked.Load(), served.Load(), unanswered.Load(), untrue.Load(), peak)
	assert.Assert(t, peak <= memoryLimitMB*memoryFactor)
	assert.Equal(t, unanswered.Load(), int64(0))
	return untrue.Load()
}
