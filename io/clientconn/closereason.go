package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseReason is the reason for which a connection was closed.
type CloseReason string

// Close reasons. The first four are on the client's side or in the network, the others are this process's own.
const (
	// ClientClosed: the client has closed its sending side. With HTTP/1.1 it is unknown whether it still reads.
	ClientClosed    CloseReason = "client"
	ConnectionReset CloseReason = "reset"
	// KeepAliveFailed: keep-alive probes were not acknowledged.
	KeepAliveFailed CloseReason = "silence"
	// WriteTimeout: the client did not read the response in time.
	WriteTimeout CloseReason = "stall"
	// IdleTimeout, HeaderTimeout and Stopped: the connection was idle for too long, a header did not arrive in time, or
	// the process is stopping.
	IdleTimeout   CloseReason = "idle"
	HeaderTimeout CloseReason = "header"
	Stopped       CloseReason = "stop"
	// HeadTooLarge, NoMemory and Evicted: the head of a request was beyond the limit, could not be held, or the connection was closed
	// for another one.
	HeadTooLarge CloseReason = "headTooLarge"
	NoMemory     CloseReason = "memory"
	Evicted      CloseReason = "evicted"
	// NoPlace: the connection was closed as soon as it was accepted, because all others were in use.
	NoPlace CloseReason = "noPlace"
)

// CloseReasons returns all close reasons.
func CloseReasons() []CloseReason {
	return []CloseReason{
		ClientClosed, ConnectionReset, KeepAliveFailed, WriteTimeout, IdleTimeout, HeaderTimeout, Stopped, HeadTooLarge, NoMemory, Evicted, NoPlace,
	}
}

// Local reports whether this process closed the connection.
func (r CloseReason) Local() bool {
	switch r {
	case IdleTimeout, HeaderTimeout, Stopped, HeadTooLarge, NoMemory, Evicted, NoPlace:
		return true
	}
	return false
}

// readCloseReason returns what a read error says about the peer. A timeout and a closed connection say nothing.
func readCloseReason(err error) CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return ClientClosed
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return ""
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ConnectionReset
	}
	return KeepAliveFailed
}

// writeCloseReason returns what a write error says about the peer. A write times out if the peer does not read.
func writeCloseReason(err error) CloseReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return WriteTimeout
	}
	return readCloseReason(err)
}
