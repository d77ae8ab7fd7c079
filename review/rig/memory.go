package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMB is the machines' limit.
	memoryMB     = 284
	sampleGap    = 2 * time.Millisecond
	restartDelay = time.Second
)

// anonymousMB returns the resident memory of the process that belongs to no file.
func (r *router) anonymousMB() (mb float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, is := strings.CutPrefix(line, "RssAnon:"); is {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return float64(kb) / 1024
		}
	}
	return 0
}

// keepToMemory does what the platform does to a process over its memory: it kills it, and starts it again a little later. It
// returns the times of the kills when done is closed.
func (r *router) keepToMemory(x *rig, done <-chan struct{}) (kills []time.Time) {
	peak := 0.0
	for {
		select {
		case <-done:
			x.note("%s held at most %.0f MB", r.name, peak)
			return kills
		case <-time.After(sampleGap):
		}
		mb := r.anonymousMB()
		peak = max(peak, mb)
		if mb <= memoryMB {
			continue
		}
		kills = append(kills, time.Now())
		r.kill()
		x.note("%s holds %.0f MB and is killed", r.name, mb)
		time.Sleep(restartDelay)
		err := r.start()
		if err != nil {
			x.note("%s does not start again: %v", r.name, err)
			return kills
		}
		x.note("%s starts again", r.name)
	}
}
