package quarantine

import (
	"slices"
	"time"
)

// Record is what a router reports to others of a part or a request. Field names are part of the wire format between routers.
type Record struct {
	Key     Key
	Crashes []ReportedCrash
	// Trials is the number of trials, and TrialNumber rises with each change of the next one, which is due after TrialIn.
	Trials      int
	TrialNumber int64
	TrialIn     time.Duration
	// Age is the time since the record changed last.
	Age time.Duration
}

// ReportedCrash is a crash at which a request had the part, or was there itself. Account and Request are 0 if there were several.
type ReportedCrash struct {
	Process uint64
	Account uint64
	Request uint64
	Age     time.Duration
	// SentAge is the time since the oldest of the requests was sent to the endpoint.
	SentAge time.Duration
	Cleared bool
	// Silent is set if the process ended without a sign.
	Silent bool
}

// record is what this router knows of a part or a request.
type record struct {
	// request is set if it is that of a request.
	request   bool
	crashes   crashes
	trial     trial
	changedAt time.Time
	// version is the table's version at the last change.
	version int64
}

// quarantineEvents is from how many crashes on the request, or requests with the part, are refused. retryEvents is from how many
// crashes under a part on a request that was at one itself is not sent again.
const (
	quarantineEvents = MaxCrashes
	retryEvents      = 2
)

// MaxCrashes is how many endpoints may crash under one request.
const MaxCrashes = 3

func (r *record) quarantined() bool { return r.events() >= quarantineEvents }

// events returns the number of crashes that count. A request is at one endpoint at a time, so that each of its crashes does.
func (r *record) events() int {
	counted := r.crashes.counted()
	if r.request {
		return len(counted)
	}
	return counted.events()
}

// clear clears the crashes before an answer that went well, and reports whether that changed anything.
func (r *record) clear(began time.Time) (changed bool) {
	changed = r.crashes.clear(func(c crash) bool { return c.at.Before(began) })
	r.resetTrials(changed)
	return changed
}

// minRestartTime is how long the process of an endpoint takes to start again at least. Its successor may have its id, and answers
// before the router knows of it.
const minRestartTime = time.Second

// clearProcess clears the crash of a process that has responded to a request sent later, and reports whether that changed
// anything.
func (r *record) clearProcess(process uint64, sent time.Time) (changed bool) {
	changed = r.crashes.clear(func(c crash) bool {
		return c.process == process && c.at.Before(sent) && (c.silent || sent.Sub(c.at) < minRestartTime)
	})
	r.resetTrials(changed)
	return changed
}

// resetTrials lets trials start over once crashes have been cleared.
func (r *record) resetTrials(cleared bool) {
	if cleared && r.trial.count > 0 {
		r.trial = trial{number: r.trial.number + 1}
	}
}

// report returns the record for other routers.
func (r *record) report(k Key, now time.Time) (reported Record) {
	reported = Record{
		Key: k, Trials: r.trial.count, TrialNumber: r.trial.number, Age: now.Sub(r.changedAt),
	}
	if !r.trial.due.IsZero() {
		reported.TrialIn = r.trial.due.Sub(now)
	}
	for _, c := range r.crashes {
		reported.Crashes = append(reported.Crashes, ReportedCrash{Process: c.process, Account: c.account, Request: c.request, Age: now.Sub(c.at), SentAge: now.Sub(c.sent), Cleared: c.cleared, Silent: c.silent})
	}
	return reported
}

// fromReport returns the record that another router reports.
func fromReport(reported Record, now time.Time) (r record) {
	r = record{request: reported.Key.Request, changedAt: now.Add(-max(reported.Age, 0))}
	if reported.TrialNumber > 0 {
		r.trial = trial{count: max(reported.Trials, 0), number: reported.TrialNumber, due: now.Add(reported.TrialIn)}
	}
	for _, c := range reported.Crashes[:min(len(reported.Crashes), maxCrashes)] {
		r.crashes.add(crash{process: c.Process, account: c.Account, request: c.Request, at: now.Add(-max(c.Age, 0)), sent: now.Add(-max(c.SentAge, c.Age, 0)), cleared: c.Cleared, silent: c.Silent})
	}
	return r
}

// merge adds what another router knows of the part or request, and reports whether that changed anything.
func (r *record) merge(other record) (changed bool) {
	for _, c := range other.crashes {
		changed = r.crashes.add(c) || changed
	}
	if other.trial.number > r.trial.number {
		r.trial, changed = other.trial, true
	}
	if changed && other.changedAt.After(r.changedAt) {
		r.changedAt = other.changedAt
	}
	return changed
}

const (
	// suspicionTTL is how long crashes count of a part that is not quarantined, and how long cleared ones are kept, so that a late
	// report does not make them count again.
	suspicionTTL = 10 * time.Minute
	// requestSuspicionTTL is how long crashes count of a request that is not quarantined. Its client may send it again after hours.
	requestSuspicionTTL = 24 * time.Hour
	// quarantineTTL is how long a quarantined part or request is kept after the last crash or trial.
	quarantineTTL = 48 * time.Hour
)

func (r *record) expired(now time.Time) bool {
	age := now.Sub(r.changedAt)
	switch {
	case r.quarantined():
		return age > quarantineTTL
	case r.request && len(r.crashes.counted()) > 0:
		return age > requestSuspicionTTL
	}
	return age > suspicionTTL
}

// unexplained returns the crashes that nothing quarantined explains which the request lacks: a part or request that was at as many
// crashes, or a single request. If several requests with the part were at crashes, the part is the likelier cause.
func (r *record) unexplained(others []*record) (rest crashes) {
	all := r.crashes.counted()
	rest = slices.Clone(all)
	var byRequest []crashes
	for _, o := range others {
		explaining := o.crashes.counted()
		if explaining.outweigh(all) {
			rest = rest.without(explaining)
		}
		if o.request && len(all.without(explaining)) < len(all) {
			byRequest = append(byRequest, explaining)
		}
	}
	if len(byRequest) == 1 && all.oneRequest() {
		rest = rest.without(byRequest[0])
	}
	return rest
}
