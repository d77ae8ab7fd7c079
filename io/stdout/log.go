package stdout

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
)

// Log is a logger with a bounded rate and queue. What does not fit is dropped and counted: a reader of the logs that
// stalls must cost lines, never a request.
type Log struct {
	lines   chan []byte
	budget  *rate.Limiter
	served  *rate.Limiter
	w       io.Writer
	mu      sync.Mutex
	dropped int
	buf     bytes.Buffer
	encoder log.Logger
	running background.Group
	cancel  context.CancelFunc
}

const (
	// linesPerSecond and burst bound the volume: at some 250 bytes a line this is 12 KB/s at most, and processor time
	// well below a hundredth of a core.
	linesPerSecond = 50
	burst          = 150
	// servedPerSecond bounds the lines on requests that were served after all, so that those on failures and on what
	// the router believes have most of the budget left.
	servedPerSecond = 10
	// queued is how many lines wait for a writer that stalls.
	queued = 512
	// reportEvery is how often the number of dropped lines is told.
	reportEvery = 5 * time.Second
)

// New makes a logger that writes to w once it is started.
func New(w io.Writer) *Log {
	l := &Log{
		lines: make(chan []byte, queued), w: w,
		budget: rate.NewLimiter(linesPerSecond, burst), served: rate.NewLimiter(servedPerSecond, servedPerSecond),
	}
	l.encoder = log.NewLogfmtLogger(&l.buf)
	return l
}

// Log queues one line, or drops it when the rate or the queue is used up.
func (l *Log) Log(keyvals ...any) error {
	if about(keyvals) == event.RequestServed && !l.served.Allow() || !l.budget.Allow() {
		l.drop()
		return nil
	}
	line, err := l.encode(keyvals)
	if err != nil {
		l.drop()
		return nil
	}
	select {
	case l.lines <- line:
	default:
		l.drop()
	}
	return nil
}

// about is the event that the line tells of.
func about(keyvals []any) (name event.Name) {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == field.Event {
			name, _ = keyvals[i+1].(event.Name)
			return name
		}
	}
	return ""
}

func (l *Log) encode(keyvals []any) (line []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buf.Reset()
	err = l.encoder.Log(keyvals...)
	return bytes.Clone(l.buf.Bytes()), err
}

func (l *Log) drop() {
	l.mu.Lock()
	l.dropped++
	l.mu.Unlock()
}

// Start writes in the background.
func (l *Log) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { l.write(ctx) })
	l.running.Go(func() { background.Every(ctx, reportEvery, l.report) })
	return nil
}

// Stop writes what is queued, as far as the writer takes it before the context ends.
func (l *Log) Stop(ctx context.Context) error {
	l.cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.running.Stop()
		l.flush()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return nil
}

func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.w.Write(line)
		default:
			return
		}
	}
}

func (l *Log) write(ctx context.Context) {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.w.Write(line)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Log) report(time.Time) {
	l.mu.Lock()
	n := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	if n > 0 {
		_ = l.Log(field.Event, event.LinesDropped, field.Count, strconv.Itoa(n))
	}
}
