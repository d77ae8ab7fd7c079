// Command rig starts routers as separate processes with stand-ins of the platform's store, of servers and of clients, and
// plays one case of the review.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// rig is what a case runs with.
type rig struct {
	dir, binary string
	// trouble is set unless the case is played without its disruption.
	trouble bool
	began   time.Time
	record  *os.File
}

func main() { os.Exit(play()) }

func play() (status int) {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/savoryfall", "the router's program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	keep := flag.String("keep", "", "a folder for settings and logs that is kept; a temporary one if empty")
	flag.Parse()
	cases := map[string]func(r *rig) int{"withdrawn": withdrawn, "bodies": bodies, "extra": extra}
	playCase, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return couldNot
	}
	dir, err := *keep, error(nil)
	if dir == "" {
		dir, err = os.MkdirTemp("", "review-")
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if err == nil {
		_, err = os.Stat(*binary)
	}
	r := &rig{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if err == nil {
		r.binary, err = filepath.Abs(*binary)
	}
	if err == nil {
		r.record, err = os.Create(*record)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = r.record.Close() }()
	status = playCase(r)
	r.note("exit status %d", status)
	return status
}

// note writes a line to the record, with the seconds since the start.
func (r *rig) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *rig) noteAt(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) failed(err error) int {
	r.note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return couldNot
}
