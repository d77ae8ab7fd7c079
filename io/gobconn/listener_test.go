package gobconn

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a framing that differs from that of encoding/gob, however the bytes arrive.
func TestFramesFollowGob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		longest := 0
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			before := stream.Len()
			assert.NilError(t, encoder.Encode(strings.Repeat("x", rapid.IntRange(0, 70000).Draw(t, "length"))))
			longest = max(longest, stream.Len()-before)
		}
		var f frames
		found := 0
		for p := stream.Bytes(); len(p) > 0; {
			n := rapid.IntRange(1, len(p)).Draw(t, "piece")
			length, err := f.add(p[:n])
			assert.NilError(t, err)
			found = max(found, length)
			p = p[n:]
		}
		assert.Assert(t, !f.partial())
		const maxPrefix = 9
		assert.Assert(t, found < longest && found >= longest-maxPrefix, "%d of %d", found, longest)
	})
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte("\xfc\x20\x00\x00\x00"), 1)
	f.Add([]byte("\x03abc\xff\x80"), 3)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		if cut < 0 || cut > len(p) {
			return
		}
		var whole, parts frames
		longest, err := whole.add(p)
		first, firstErr := parts.add(p[:cut])
		if firstErr != nil {
			assert.Assert(t, err != nil)
			return
		}
		second, secondErr := parts.add(p[cut:])
		assert.Equal(t, secondErr, err)
		if err == nil {
			assert.Equal(t, max(first, second), longest)
			assert.Equal(t, parts, whole)
		}
	})
}

// newPair returns the listener's and the client's ends of a connection.
func newPair(t *testing.T, l *Listener) (ours net.Conn, theirs net.Conn) {
	t.Helper()
	theirs, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = theirs.Close() })
	ours, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ours.Close() })
	return ours, theirs
}

func newListener(t *testing.T, known bool) *Listener {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	return &Listener{Listener: raw, Known: func(string) bool { return known }}
}

// Guards against a decoder that takes memory for the length that an unknown host announces.
func TestLongMessageIsRefused(t *testing.T) {
	for name, p := range map[string]string{"longest of gob": "\xf8\x00\x00\x00\x01\x00\x00\x00\x00", "half a gigabyte": "\xfc\x20\x00\x00\x00", "beyond the budget": "\xfd\x0f\xff\xff"} {
		t.Run(name, func(t *testing.T) {
			l := newListener(t, false)
			l.Budget.SetLimits(100<<10, 0)
			ours, theirs := newPair(t, l)
			_, err := io.WriteString(theirs, p)
			assert.NilError(t, err)
			_ = ours.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = io.ReadAll(ours)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded))
			assert.Assert(t, err != nil)
			_ = theirs.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = theirs.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
			held, _, open, _ := l.Budget.Usage()
			assert.Assert(t, held == 0 && open == 0)
		})
	}
}

// Guards against limits that other routers pay for.
func TestKnownHostsAreNotLimited(t *testing.T) {
	l := newListener(t, true)
	l.Budget.SetLimits(1, 1)
	for range 3 {
		ours, theirs := newPair(t, l)
		_, err := io.WriteString(theirs, "\xfc\x20\x00\x00\x00")
		assert.NilError(t, err)
		_, err = io.ReadFull(ours, make([]byte, 5))
		assert.NilError(t, err)
	}
}

// Guards against hosts that are not known, connect and keep out those that come after them, such as a router that has just started.
func TestUnknownHostsTakeEachOthersPlaces(t *testing.T) {
	l := newListener(t, false)
	l.Budget.SetLimits(0, 4)
	first, _ := newPair(t, l)
	for range 10 {
		newPair(t, l)
	}
	used, _ := l.Budget.Descriptors()
	assert.Equal(t, used, 4)
	_ = first.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against handshakes of any length that are held for hosts that have not proved to be peers, and against counting what peers send.
func TestLongHandshakeIsRefused(t *testing.T) {
	const most = 150 << 10
	for _, authenticated := range []bool{false, true} {
		l := newListener(t, false)
		l.Opaque = true
		l.Budget.SetLimits(most, 0)
		l.Budget.SetSecure()
		ours, theirs := newPair(t, l)
		if authenticated {
			ours.(*conn).Authenticated()
		}
		go func() {
			_, _ = theirs.Write(make([]byte, most))
			_ = theirs.Close()
		}()
		_, err := io.Copy(io.Discard, ours)
		assert.Equal(t, err == nil, authenticated, "%v", err)
		held, _, _, _ := l.Budget.Usage()
		assert.Assert(t, held <= most)
	}
}
