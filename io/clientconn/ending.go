package clientconn

import (
	"errors"
	"io"
	"syscall"
)

// Ending is why a connection ended.
type Ending string

// The endings. The first three are the other side's, the others this process's own.
const (
	// ByClient: the client has closed its sending side, and with HTTP/1.1 there is no telling whether it still listens.
	ByClient Ending = "client"
	ByReset  Ending = "reset"
	// BySilence: keep-alive probes found nobody.
	BySilence Ending = "silence"
	// ByIdle, ByHeader and ByStop: idle for too long, a header that did not come, a process that stops.
	ByIdle   Ending = "idle"
	ByHeader Ending = "header"
	ByStop   Ending = "stop"
)

// Endings are all of them.
func Endings() []Ending { return []Ending{ByClient, ByReset, BySilence, ByIdle, ByHeader, ByStop} }

// Ours tells whether this process ended the connection.
func (e Ending) Ours() bool { return e == ByIdle || e == ByHeader || e == ByStop }

// endingOf is what an error of a read says of the other side; a deadline's says nothing.
func endingOf(err error) Ending {
	switch {
	case errors.Is(err, io.EOF):
		return ByClient
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ByReset
	case errors.Is(err, syscall.ETIMEDOUT):
		return BySilence
	}
	return ""
}
