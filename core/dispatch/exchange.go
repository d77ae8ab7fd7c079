package dispatch

import (
	"time"

	"savoryfall/core/fleetload"
	"savoryfall/core/prompt"
)

// OwnWorkload returns this router's current load and demand, for the other routers.
func (d *Dispatcher) OwnWorkload(now time.Time) (w fleetload.Workload) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		e.failures.decayTo(now)
		untracked := e.ownUntracked(now)
		if e.running == 0 && e.failures.all < minReportedWeight && untracked < minReportedWeight {
			continue
		}
		w.Loads = append(w.Loads, fleetload.Load{
			Endpoint: e.shortHash(), Running: e.running, PendingPromptTokens: e.unreadTokens,
			Failures: float32(e.failures.bad), Attempts: float32(e.failures.all), Untracked: float32(untracked),
		})
	}
	for service, m := range d.demands {
		w.Demands = append(w.Demands, m.report(serviceHash(service), now)...)
	}
	return w
}

// minReportedWeight is the decayed weight below which endpoints and ranks are left out of reports.
const minReportedWeight = 0.1

// SetFleetWorkload sets the work of all routers together, of which own is what this router had reported.
func (d *Dispatcher) SetFleetWorkload(total, own fleetload.Workload, now time.Time) {
	defer d.reportChange(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.othersAt = now
	d.setOtherLoads(total.Loads, own.Loads, now)
	for service, m := range d.demands {
		m.setOthers(serviceHash(service), total.Demands, own.Demands, now)
	}
}

func (d *Dispatcher) setOtherLoads(total, own []fleetload.Load, now time.Time) {
	for _, e := range d.byID {
		e.othersReport, e.othersReportAt = fleetload.Load{}, now
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
			e.othersReport.PendingPromptTokens -= l.PendingPromptTokens
			e.othersReport.Failures -= l.Failures
			e.othersReport.Attempts -= l.Attempts
		}
	}
	for _, e := range d.byID {
		e.othersReport.Running, e.othersReport.PendingPromptTokens = max(e.othersReport.Running, 0), max(e.othersReport.PendingPromptTokens, 0)
		e.othersReport.Failures, e.othersReport.Attempts = max(e.othersReport.Failures, 0), max(e.othersReport.Attempts, 0)
		e.othersRunning = e.othersReport.Running
	}
}

// TakeReads returns the shared prompt parts that this router has sent to endpoints since the last call.
func (d *Dispatcher) TakeReads() (reads []fleetload.PrefixRead) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reads, d.pendingReads = d.pendingReads, nil
	return reads
}

// RecordReads records the prompt parts that other routers have sent to endpoints.
func (d *Dispatcher) RecordReads(reads []fleetload.PrefixRead) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reads {
		e := d.byShortHash[r.Endpoint]
		if e == nil {
			continue
		}
		_, cache, _ := d.serviceCapacity(e.entry.Service)
		e.cache.Read(r.Parts, cache)
		d.indexParts(e, r.Parts)
	}
}

// minReportedTokens is from how many tokens on a shared prompt is reported to the other routers.
const minReportedTokens = 500

// maxPendingReads bounds what is kept for the hub while there is none.
const maxPendingReads = 4096

// recordRead records that the endpoint reads the prompt.
func (d *Dispatcher) recordRead(q Query, e *endpoint) {
	common := sharedParts(q.Prompt)
	if n := common.Tokens(); n >= minReportedTokens && e.cache.CachedTokens(common) < n && len(d.pendingReads) < maxPendingReads {
		d.pendingReads = append(d.pendingReads, fleetload.PrefixRead{Endpoint: e.shortHash(), Parts: common})
	}
	_, cache, _ := d.serviceCapacity(q.Service)
	e.cache.Read(q.Prompt, cache)
	d.indexParts(e, q.Prompt)
}

// indexParts records that the endpoint was sent the parts, while overload control may be active for a service.
func (d *Dispatcher) indexParts(e *endpoint, parts prompt.Chain) {
	if d.overload.Always || !d.overload.Never && len(d.speedReportedAt) > 0 {
		d.holders.add(e, parts)
	}
}

// sharedParts returns all parts but the last, which belongs to the request alone.
func sharedParts(chain prompt.Chain) prompt.Chain {
	if len(chain) == 0 {
		return nil
	}
	return chain[:len(chain)-1]
}
