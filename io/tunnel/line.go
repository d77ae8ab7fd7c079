package tunnel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// preface begins every request line. A router of a release without tunnels takes it for a message of net/rpc that cannot
// be decoded, and closes the connection.
const preface = "savoryfall-tunnel/1 "

// lineLength is the length of request and reply lines in bytes, filled with spaces. It exceeds the length that net/rpc
// reads from the first byte of the preface, so that a router without tunnels does not wait for more.
const lineLength = 128

// Refusal is why a router does not open a tunnel.
type Refusal string

// The refusals.
const (
	// Unreachable means that the router cannot connect to the endpoint either.
	Unreachable Refusal = "unreachable"
	// CutOff means that the router reaches no endpoint of the service.
	CutOff Refusal = "cutOff"
	// UnknownEndpoint means that no endpoint is known at the address.
	UnknownEndpoint Refusal = "unknownEndpoint"
	// Busy means that the router has as many tunnels as it may have.
	Busy Refusal = "busy"
	// Stopping means that the router is about to exit.
	Stopping Refusal = "stopping"
	// NotARouter means that the request did not come from a router's VM.
	NotARouter Refusal = "notARouter"
)

func (r Refusal) Error() string { return "the other router refused the tunnel: " + string(r) }

const accepted = "accepted"

// errMalformed is returned for a line that is not one of this protocol.
var errMalformed = errors.New("malformed line of a tunnel")

func encodeLine(text string) []byte { return fmt.Appendf(nil, "%-*s\n", lineLength-1, text) }

// readLine reads a line, and returns its text without the fill.
func readLine(r io.Reader) (text string, err error) {
	var line [lineLength]byte
	_, err = io.ReadFull(r, line[:])
	if err != nil {
		return "", err
	}
	if line[lineLength-1] != '\n' {
		return "", errMalformed
	}
	return strings.TrimRight(string(line[:lineLength-1]), " "), nil
}

// startsWithPreface reports whether the first bytes are those of a request line. It reads no further than the first byte
// that differs.
func startsWithPreface(r *bufio.Reader) (ok bool, err error) {
	for n := 1; n <= len(preface); n++ {
		got, err := r.Peek(n)
		if err != nil {
			return false, err
		}
		if got[n-1] != preface[n-1] {
			return false, nil
		}
	}
	return true, nil
}
