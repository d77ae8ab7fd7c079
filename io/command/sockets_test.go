package command

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"savoryfall/io/http1"
	"savoryfall/io/traffic"
)

// deadPeerTime returns how long after its last bytes a connection without unacknowledged ones is closed because its peer
// does not respond, as Linux computes it: a user timeout decides in place of the number of probes.
func deadPeerTime(t *testing.T, fd int) time.Duration {
	option := func(name int) int {
		v, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, name)
		assert.NilError(t, err)
		return v
	}
	enabled, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	assert.NilError(t, err)
	assert.Equal(t, enabled, 1)
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	interval, count := time.Duration(option(unix.TCP_KEEPINTVL))*time.Second, option(unix.TCP_KEEPCNT)
	elapsed := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	for probes := 0; ; probes++ {
		if userTimeout > 0 && probes > 0 && elapsed >= userTimeout || userTimeout == 0 && probes >= count {
			return elapsed
		}
		elapsed += interval
	}
}

// descriptor returns the descriptor of a connection.
func descriptor(t *testing.T, c net.Conn) (fd int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(f uintptr) { fd = int(f) }))
	return fd
}

// isAddress reports whether a socket's name is the address.
func isAddress(name unix.Sockaddr, a net.Addr) bool {
	in, is := name.(*unix.SockaddrInet4)
	tcp := a.(*net.TCPAddr)
	return is && in.Port == tcp.Port && net.IP(in.Addr[:]).Equal(tcp.IP)
}

// socketBetween returns the descriptor of this process for the socket with these two ends. One end does not identify it:
// connections to several addresses may share a local port.
func socketBetween(local, remote net.Addr) (fd int, found bool) {
	for n := range 1 << 16 {
		name, err := unix.Getsockname(n)
		if err != nil || !isAddress(name, local) {
			continue
		}
		peer, err := unix.Getpeername(n)
		if err == nil && isAddress(peer, remote) {
			return n, true
		}
	}
	return 0, false
}

// acceptedDescriptor returns the descriptor of this process for the other end of the connection.
func (f *entryFleet) acceptedDescriptor(c net.Conn) (fd int) {
	f.waitFor("the connection is accepted", func() (found bool) {
		fd, found = socketBetween(c.RemoteAddr(), c.LocalAddr())
		return found
	})
	return fd
}

// socketTo returns the descriptor of this end of the connection.
func (f *entryFleet) socketTo(c net.Conn) (fd int) {
	fd, found := socketBetween(c.LocalAddr(), c.RemoteAddr())
	assert.Assert(f.t, found, "the socket has no descriptor")
	return fd
}

// silence is how long a sound peer may be silent, without acknowledging anything.
const silence = 2 * time.Second

// Guards against connections that outlast a dead peer, or that a second of silence ends, because a socket does not have the
// options that were meant for it.
func TestDeadPeersAreNoticed(t *testing.T) {
	t.Parallel()
	f := newEntryFleet(t, 2)
	vm := f.vms[0]
	dialed := func(c net.Conn, err error) func() int {
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return func() int { return descriptor(t, c) }
	}
	accepted := func(address string) func() int {
		c, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		// An accepted connection has its descriptor before its options. It has both when it is served.
		_, err = io.WriteString(c, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 1))
		assert.NilError(t, err)
		return func() int { return f.acceptedDescriptor(c) }
	}
	transport := storeTransport(traffic.New(vm.metricSet))
	store, err := transport.DialContext(context.Background(), "tcp4", f.storeAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	// The store's connection counts its bytes and does not show its socket. The other end finds it.
	storeSocket := func() int { return f.socketTo(store) }
	peer := f.vms[1].settings.PeerAddress()
	for name, socket := range map[string]struct {
		fd   func() int
		most time.Duration
	}{
		"to an endpoint": {fd: dialed(http1.DialTCP(context.Background(), f.endpoints["p0"].Address())), most: contactTime},
		"to a router":    {fd: dialed(vm.dialRouter(context.Background(), peer)), most: contactTime},
		"to the store":   {fd: storeSocket, most: contactTime},
		"from a client":  {fd: accepted(vm.clientServer.Address()), most: 15 * time.Second},
		"from operators": {fd: accepted(vm.metricsAddress()), most: 3 * time.Minute},
	} {
		noticed := deadPeerTime(t, socket.fd())
		assert.Assert(t, noticed > silence && noticed <= socket.most, "%s: after %v", name, noticed)
	}
}

// Guards against options read from another connection, which the system gave the same local port.
func TestSocketIsFoundByBothEnds(t *testing.T) {
	t.Parallel()
	f := &entryFleet{t: t}
	reuse := func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		})
		return errors.Join(err, controlErr)
	}
	local := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}
	found := map[int]bool{}
	for range 2 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		c, err := (&net.Dialer{LocalAddr: local, Control: reuse}).Dial("tcp4", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = accepted.Close() })
		local = c.LocalAddr().(*net.TCPAddr)
		assert.Equal(t, f.socketTo(c), descriptor(t, c))
		assert.Equal(t, f.acceptedDescriptor(c), descriptor(t, accepted))
		found[f.socketTo(c)], found[f.acceptedDescriptor(c)] = true, true
	}
	assert.Equal(t, len(found), 4)
}
