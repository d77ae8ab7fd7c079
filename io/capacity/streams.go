package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/tmaxmax/go-sse"

	"savoryfall/io/fleet"
	"savoryfall/io/standin/engine"
)

// Streams is what so many streams at once cost, straight to an engine and through a router, in one process.
type Streams struct {
	AtOnce          int     `json:"atOnce"`
	DirectFirstP50  float64 `json:"directFirstP50Ms"`
	DirectFirstP99  float64 `json:"directFirstP99Ms"`
	RoutedFirstP50  float64 `json:"routedFirstP50Ms"`
	RoutedFirstP99  float64 `json:"routedFirstP99Ms"`
	DirectTotalP50  float64 `json:"directTotalP50Ms"`
	RoutedTotalP50  float64 `json:"routedTotalP50Ms"`
	DirectTotalP99  float64 `json:"directTotalP99Ms"`
	RoutedTotalP99  float64 `json:"routedTotalP99Ms"`
	CPUPerRequestUs float64 `json:"cpuPerRequestUs"`
	CPUPerTokenUs   float64 `json:"cpuPerTokenUs"`
	MemoryPerStream float64 `json:"memoryPerStream"`
}

const (
	streamTokens = 100
	shortTokens  = 1
	streamStep   = 20 * time.Millisecond
	rounds       = 6
	maxMicros    = int64(time.Minute / time.Microsecond)
)

// Text is the row for people.
func (s Streams) Text() string {
	return fmt.Sprintf("%4d streams: first token ms p50 %.2f direct, %.2f routed; p99 %.2f, %.2f; total ms p50 %.1f, %.1f; p99 %.1f, %.1f; "+
		"added CPU %.0f µs a request, %.1f µs a token; added memory %.0f KB a stream",
		s.AtOnce, s.DirectFirstP50, s.RoutedFirstP50, s.DirectFirstP99, s.RoutedFirstP99, s.DirectTotalP50, s.RoutedTotalP50,
		s.DirectTotalP99, s.RoutedTotalP99, s.CPUPerRequestUs, s.CPUPerTokenUs, s.MemoryPerStream/1024)
}

// sample is what one batch of streams showed.
type sample struct {
	first, total *hdrhistogram.Histogram
	cpu          time.Duration
	memory       float64
}

// MeasureStreams compares in one run; what the router adds includes one more hop over loopback.
func MeasureStreams(ctx context.Context) (rows []Streams, err error) {
	f := fleet.New(fleet.Options{
		Routers: 1, Engines: 1, Engine: engine.Options{Step: streamStep, Batch: 2048, PrefillTokens: 1 << 20},
		Extra: map[string]string{"callers": "lameDuck = \"0s\"\n", "limits": "requestsPerEndpoint = 4096\n"},
	}, log.NewNopLogger())
	err = f.Start(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Stop(context.WithoutCancel(ctx))) }()
	direct, routed := "http://"+f.Address("engine-01"), "http://"+f.Routers()[0].Callers()
	for _, n := range []int{1, 64, 512} {
		row, err := compare(ctx, direct, routed, n)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func compare(ctx context.Context, direct, routed string, n int) (row Streams, err error) {
	var d, r, dShort, rShort sample
	for _, m := range []struct {
		url    string
		tokens int
		into   *sample
	}{{direct, streamTokens, &d}, {routed, streamTokens, &r}, {direct, shortTokens, &dShort}, {routed, shortTokens, &rShort}} {
		*m.into, err = batch(ctx, m.url, n, m.tokens)
		if err != nil {
			return row, err
		}
	}
	requests := float64(n * rounds)
	added := (r.cpu - d.cpu).Seconds() * 1e6 / requests
	addedShort := (rShort.cpu - dShort.cpu).Seconds() * 1e6 / requests
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Streams{
		AtOnce: n, DirectFirstP50: at(d.first, 50), DirectFirstP99: at(d.first, 99), RoutedFirstP50: at(r.first, 50),
		RoutedFirstP99: at(r.first, 99), DirectTotalP50: at(d.total, 50), RoutedTotalP50: at(r.total, 50),
		DirectTotalP99: at(d.total, 99), RoutedTotalP99: at(r.total, 99),
		CPUPerRequestUs: addedShort, CPUPerTokenUs: (added - addedShort) / (streamTokens - shortTokens),
		MemoryPerStream: (r.memory - d.memory) / float64(n),
	}, nil
}

// batch runs n streams at once, several times over; the memory is looked at when all have begun.
func batch(ctx context.Context, url string, n, tokens int) (s sample, err error) {
	s = sample{first: hdrhistogram.New(1, maxMicros, 3), total: hdrhistogram.New(1, maxMicros, 3)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer client.CloseIdleConnections()
	runtime.GC()
	base := held()
	used := cpu()
	var mu sync.Mutex
	for round := range rounds {
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() {
				first, total, e := one(ctx, client, url, fmt.Sprintf("#%d stream %d of round %d", tokens, i, round))
				mu.Lock()
				defer mu.Unlock()
				err = errors.Join(err, e)
				_ = s.first.RecordValue(max(first.Microseconds(), 1))
				_ = s.total.RecordValue(max(total.Microseconds(), 1))
			})
		}
		if round == rounds-1 && tokens == streamTokens {
			pause(ctx, streamTokens*streamStep/2)
			s.memory = held() - base
		}
		all.Wait()
	}
	s.cpu = cpu() - used
	return s, err
}

// notWholeError says that a stream of the measurement was cut.
type notWholeError struct{ status int }

func (e notWholeError) Error() string {
	return fmt.Sprintf("a measured stream was not whole, status %d", e.status)
}

func one(ctx context.Context, client *http.Client, url, text string) (first, total time.Duration, err error) {
	body := fmt.Appendf(nil, `{"model":"sur-large","stream":true,"messages":[{"role":"user","content":%q}]}`, text)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+fleet.Key("guardia"))
	began := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return 0, 0, err
		}
		if first == 0 {
			first = time.Since(began)
		}
		if ev.Data == "[DONE]" {
			total = time.Since(began)
			_, err = io.Copy(io.Discard, resp.Body)
			return first, total, err
		}
	}
	return 0, 0, notWholeError{status: resp.StatusCode}
}
