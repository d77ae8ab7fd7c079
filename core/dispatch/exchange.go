package dispatch

import (
	"time"

	"savoryfall/core/board"
	"savoryfall/core/prompt"
)

// Work returns this router's current load and demand, for the other routers.
func (d *Dispatcher) Work(now time.Time) (w board.Work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		e.failures.fade(now)
		untracked := e.ownUntracked(now)
		if e.running == 0 && e.failures.all < minReportedWeight && untracked < minReportedWeight {
			continue
		}
		w.Loads = append(w.Loads, board.Load{
			Endpoint: e.shortHash(), Running: e.running, Unread: e.unreadTokens,
			Bad: float32(e.failures.bad), All: float32(e.failures.all), Hidden: float32(untracked),
		})
	}
	for service, m := range d.demands {
		w.Demands = append(w.Demands, m.report(serviceHash(service), now)...)
	}
	return w
}

// minReportedWeight is the decayed weight below which endpoints and ranks are left out of reports.
const minReportedWeight = 0.1

// Others sets the work of all routers together, of which own is what this router had reported.
func (d *Dispatcher) Others(total, own board.Work, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.othersAt = now
	d.setOtherLoads(total.Loads, own.Loads, now)
	for service, m := range d.demands {
		m.setOthers(serviceHash(service), total.Demands, own.Demands, now)
	}
}

func (d *Dispatcher) setOtherLoads(total, own []board.Load, now time.Time) {
	for _, e := range d.byID {
		e.othersReport, e.othersReportAt = board.Load{}, now
		e.othersRunning, e.othersAt = 0, now
	}
	for _, l := range total {
		if e := d.byShortHash[l.Endpoint]; e != nil {
			e.othersReport = l
		}
	}
	for _, l := range own {
		if e := d.byShortHash[l.Endpoint]; e != nil {
			e.othersReport.Running -= l.Running
			e.othersReport.Unread -= l.Unread
			e.othersReport.Bad -= l.Bad
			e.othersReport.All -= l.All
		}
	}
	for _, e := range d.byID {
		e.othersReport.Running, e.othersReport.Unread = max(e.othersReport.Running, 0), max(e.othersReport.Unread, 0)
		e.othersReport.Bad, e.othersReport.All = max(e.othersReport.Bad, 0), max(e.othersReport.All, 0)
		e.othersRunning = e.othersReport.Running
	}
}

// Placed returns the shared prompt parts that this router has sent to endpoints since the last call.
func (d *Dispatcher) Placed() (reads []board.Read) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reads, d.pendingReads = d.pendingReads, nil
	return reads
}

// Learn records the prompt parts that other routers have sent to endpoints.
func (d *Dispatcher) Learn(reads []board.Read) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reads {
		e := d.byShortHash[r.Endpoint]
		if e == nil {
			continue
		}
		_, cache, _ := d.serviceCapacity(e.entry.Service)
		e.cache.Read(r.Parts, cache)
	}
}

// minReportedTokens is from how many tokens on a shared prompt is reported to the other routers.
const minReportedTokens = 500

// maxPendingReads bounds what is kept for the hub while there is none.
const maxPendingReads = 4096

// recordRead records that the endpoint reads the prompt.
func (d *Dispatcher) recordRead(q Query, e *endpoint) {
	common := sharedParts(q.Prompt)
	if n := common.Tokens(); n >= minReportedTokens && e.cache.Warm(common) < n && len(d.pendingReads) < maxPendingReads {
		d.pendingReads = append(d.pendingReads, board.Read{Endpoint: e.shortHash(), Parts: common})
	}
	_, cache, _ := d.serviceCapacity(q.Service)
	e.cache.Read(q.Prompt, cache)
}

// sharedParts returns all parts but the last, which belongs to the request alone.
func sharedParts(chain prompt.Chain) prompt.Chain {
	if len(chain) == 0 {
		return nil
	}
	return chain[:len(chain)-1]
}
