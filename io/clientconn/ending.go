package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Ending is why a connection ended.
type Ending string

// The endings. The first four are the other side's, the others this process's own.
const (
	// ByClient: the client has closed its sending side, and with HTTP/1.1 there is no telling whether it still listens.
	ByClient Ending = "client"
	ByReset  Ending = "reset"
	// BySilence: keep-alive probes found nobody.
	BySilence Ending = "silence"
	// ByStall: the client did not take the answer in time.
	ByStall Ending = "stall"
	// ByIdle, ByHeader and ByStop: idle for too long, a header that did not come, a process that stops.
	ByIdle   Ending = "idle"
	ByHeader Ending = "header"
	ByStop   Ending = "stop"
)

// Endings are all of them.
func Endings() []Ending {
	return []Ending{ByClient, ByReset, BySilence, ByStall, ByIdle, ByHeader, ByStop}
}

// Ours tells whether this process ended the connection.
func (e Ending) Ours() bool { return e == ByIdle || e == ByHeader || e == ByStop }

// readEnding is what an error of a read says of the other side. A deadline says nothing, nor does a closed connection.
func readEnding(err error) Ending {
	switch {
	case errors.Is(err, io.EOF):
		return ByClient
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return ""
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ByReset
	}
	return BySilence
}

// writeEnding is the same of a write, whose deadline passes when the other side does not read.
func writeEnding(err error) Ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ByStall
	}
	return readEnding(err)
}
