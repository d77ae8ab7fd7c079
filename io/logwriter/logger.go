package logwriter

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

// Logger is a logger with a limited rate and a bounded queue. Lines that exceed either are dropped and counted: if the
// reader of the logs stalls, lines may be lost but no request may be delayed.
type Logger struct {
	lines         chan []byte
	limiter       *rate.Limiter
	servedLimiter *rate.Limiter
	w             io.Writer
	mu            sync.Mutex
	dropped       int
	buf           bytes.Buffer
	encoder       log.Logger
	running       background.Group
	cancel        context.CancelFunc
}

const (
	// linesPerSecond and burst limit the volume. At about 250 bytes a line, this is at most 12 KB/s, and takes well
	// below 1% of a processor core.
	linesPerSecond = 50
	burst          = 150
	// servedPerSecond limits the lines about requests that were served after a retry, so that most of the rate is left
	// for lines about failures and about what the router knows of other systems.
	servedPerSecond = 10
	// queueSize is the number of lines that can be queued while the writer is blocked.
	queueSize = 512
	// reportPeriod is how often the number of dropped lines is logged.
	reportPeriod = 5 * time.Second
)

// New creates a logger that writes to w once it is started.
func New(w io.Writer) *Logger {
	l := &Logger{
		lines: make(chan []byte, queueSize), w: w,
		limiter: rate.NewLimiter(linesPerSecond, burst), servedLimiter: rate.NewLimiter(servedPerSecond, servedPerSecond),
	}
	l.encoder = log.NewLogfmtLogger(&l.buf)
	return l
}

// Log queues one line, or drops it if the rate is exceeded or the queue is full.
func (l *Logger) Log(keyvals ...any) error {
	if eventName(keyvals) == event.RequestServed && !l.servedLimiter.Allow() || !l.limiter.Allow() {
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

// eventName returns the event of the line, or "" if it has none.
func eventName(keyvals []any) (name event.Name) {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == field.Event {
			name, _ = keyvals[i+1].(event.Name)
			return name
		}
	}
	return ""
}

func (l *Logger) encode(keyvals []any) (line []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buf.Reset()
	err = l.encoder.Log(keyvals...)
	return bytes.Clone(l.buf.Bytes()), err
}

func (l *Logger) drop() {
	l.mu.Lock()
	l.dropped++
	l.mu.Unlock()
}

// Start writes in the background.
func (l *Logger) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { l.write(ctx) })
	l.running.Go(func() { background.Every(ctx, reportPeriod, l.reportDropped) })
	return nil
}

// Stop writes the queued lines, as far as the writer accepts them before the context is done.
func (l *Logger) Stop(ctx context.Context) error {
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

func (l *Logger) flush() {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.w.Write(line)
		default:
			return
		}
	}
}

func (l *Logger) write(ctx context.Context) {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.w.Write(line)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Logger) reportDropped(time.Time) {
	l.mu.Lock()
	n := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	if n > 0 {
		_ = l.Log(field.Event, event.LinesDropped, field.Count, strconv.Itoa(n))
	}
}
