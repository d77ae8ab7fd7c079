package fakeloads

import (
	"sync"
	"time"

	"savoryfall/core/fleetload"
)

// Loads reports one request running at one endpoint.
type Loads struct {
	mu    sync.Mutex
	total int
}

// OwnWorkload returns the load of this router.
func (l *Loads) OwnWorkload(time.Time) fleetload.Workload {
	return fleetload.Workload{Loads: []fleetload.Load{{Endpoint: 7, Running: 1}}}
}

// TakeReads returns no reads.
func (l *Loads) TakeReads() []fleetload.PrefixRead { return nil }

// RecordReads ignores the reads.
func (l *Loads) RecordReads([]fleetload.PrefixRead) {}

// SetFleetWorkload keeps the totals of the fleet.
func (l *Loads) SetFleetWorkload(total, _ fleetload.Workload, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total = 0
	for _, t := range total.Loads {
		l.total += t.Running
	}
}

// Running returns the number of running requests in the totals of the fleet.
func (l *Loads) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
