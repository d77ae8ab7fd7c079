package logwriter_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/io/logwriter"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLogWritesLogfmt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		l := logwriter.New(&b)
		assert.NilError(t, l.Start(context.Background()))
		assert.NilError(t, l.Log(field.Event, "x", field.Err, "two words"))
		assert.NilError(t, l.Stop(context.Background()))
		assert.Equal(t, b.String(), "event=x err=\"two words\"\n")
	})
}

// A burst of events, as when everything fails at once, must drop lines instead of blocking the caller. The number of
// dropped lines is logged.
func TestBurstIsLimitedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		l := logwriter.New(&b)
		assert.NilError(t, l.Start(context.Background()))
		for range 10000 {
			assert.NilError(t, l.Log(field.Event, "burst"))
		}
		time.Sleep(6 * time.Second)
		assert.NilError(t, l.Stop(context.Background()))
		assert.Equal(t, strings.Count(b.String(), "event=burst"), 150)
		assert.Assert(t, strings.Contains(b.String(), "event=linesDropped count=9850"), b.String())
	})
}

// Many lines about requests served at the second attempt must not displace the line about a failure.
func TestServedLinesLeaveRoomForFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b buffer
		l := logwriter.New(&b)
		assert.NilError(t, l.Start(context.Background()))
		for range 1000 {
			assert.NilError(t, l.Log(field.Time, 1, field.Event, event.RequestServed))
		}
		for range 100 {
			assert.NilError(t, l.Log(field.Time, 1, field.Event, event.RequestRefused))
		}
		time.Sleep(time.Second)
		assert.NilError(t, l.Stop(context.Background()))
		assert.Equal(t, strings.Count(b.String(), "event=requestServed"), 10)
		assert.Equal(t, strings.Count(b.String(), "event=requestRefused"), 100)
	})
}

// blockedWriter blocks until release is closed, like a pipe without a reader.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write([]byte) (int, error) {
	<-s.release
	return 0, nil
}

// When the reader of the logs stops reading, neither requests nor the stop of the process may wait for it.
func TestBlockedWriterDelaysNeitherLogNorStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := blockedWriter{release: make(chan struct{})}
		l := logwriter.New(w)
		assert.NilError(t, l.Start(context.Background()))
		began := time.Now()
		for range 2000 {
			assert.NilError(t, l.Log(field.Event, "x"))
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, time.Since(began), 2*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.NilError(t, l.Stop(ctx))
		assert.Equal(t, time.Since(began), 3*time.Second)
		close(w.release)
	})
}
