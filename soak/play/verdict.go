package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"savoryfall/platform/configrule"
	"savoryfall/platform/drainrule"
)

// inTouch reports whether the bounds hold for the router at a time.
func (p *play) inTouch(router string, at time.Time) bool {
	return p.stable(at) && !p.turnedAway(router, at)
}

// served reports whether the store served the router at a time, and did not turn it away shortly before.
func (p *play) served(router string, at time.Time) bool {
	return !p.downWithin(0, at) && !p.turnedAway(router, at)
}

// turnedAway reports whether the store turned the router away at a time or shortly before.
func (p *play) turnedAway(router string, at time.Time) bool {
	return slices.ContainsFunc(p.away, func(s awaySpan) bool {
		return s.covers(at, p.site.SettleTime()) && slices.Contains(s.routers, router)
	})
}

// minLate is how many late requests break the rule, if they are more than a quarter.
const minLate = 8

// isLate reports whether a request was not answered in time after the longest timeout of its route.
func isLate(o observation) bool {
	return o.ended.Sub(o.sent) > slices.Max(slowTimeouts)+slowSlack
}

// judge judges what was seen, and prints the margins.
func (p *play) judge(calls int) (err error) {
	versions, acknowledged := p.operator.snapshot()
	j := configrule.Judge{Acknowledged: acknowledged, Within: p.site.ConfigurationWithin(), GoesBackWithin: goesBackWithin, WithdrawnWithin: withdrawnWithin, InTouch: p.inTouch}
	slices.SortFunc(p.seen, func(a, b observation) int { return a.sent.Compare(b.sent) })
	var greatest, greatestAtAll time.Duration
	statuses := map[int]int{}
	slow, late, unavailable := 0, 0, 0
	for _, o := range p.seen {
		if o.path == pathSlow {
			if p.inTouch(o.router, o.sent) {
				slow++
				if isLate(o) {
					late++
				}
			}
			continue
		}
		statuses[o.status]++
		if o.status != http.StatusOK && o.status/100 != 4 && p.inTouch(o.router, o.sent) {
			unavailable++
		}
		v := j.Judge(p.observed(o, versions))
		if v.Judged {
			greatest = max(greatest, v.Delay)
		}
		if p.served(o.router, o.sent) {
			greatestAtAll = max(greatestAtAll, v.Delay)
		}
		if v.Broken != "" {
			err = fmt.Errorf("CONFIG is broken: %s", v.Broken)
			fmt.Fprintf(p.out, "%8.3f  %s\n", o.sent.Sub(p.began).Seconds(), v.Broken)
		}
	}
	drained, drainErr := p.judgeDrains()
	err = errors.Join(err, drainErr)
	if late >= minLate && 4*late > slow {
		err = errors.Join(err, fmt.Errorf("CONFIG is broken: %d of %d requests were not answered %v after their route's timeout", late, slow, slowSlack))
	}
	if ended := p.set.Ended(); len(ended) > 0 {
		err = errors.Join(err, fmt.Errorf("routers ended by themselves: %v", ended))
	}
	fmt.Fprintf(p.out, "%s seed %d: %d probes, greatest delay of a change %d ms in touch, %d ms served (%d allowed), of an endpoint's leaving %d ms; statuses %v; %d of %d slow requests late; %d answered otherwise in touch; %d calls to the store; away %v\n",
		p.day.Name(), p.seed, len(p.seen), greatest.Milliseconds(), greatestAtAll.Milliseconds(), p.site.ConfigurationWithin().Milliseconds(), drained.Milliseconds(), statuses, late, slow, unavailable, calls, p.awayNames())
	return err
}

// judgeDrains judges the requests that reached endpoints which had left, and returns the greatest delay.
func (p *play) judgeDrains() (greatest time.Duration, err error) {
	j := drainrule.Judge{Within: p.site.DrainedWithin(), Stable: p.stable, InTouch: p.inTouch}
	for e, left := range p.left {
		for _, arrived := range e.ReceivedRequests() {
			v := j.Judge(drainrule.Arrival{ID: arrived.ID, Router: p.sentBy[arrived.ID], Endpoint: e.ID(), At: arrived.At, Left: left, Misdirected: arrived.Misdirected})
			if v.Judged {
				greatest = max(greatest, v.Delay)
			}
			if v.Broken != "" {
				err = fmt.Errorf("DRAIN is broken: %s", v.Broken)
				fmt.Fprintf(p.out, "%8.3f  %s\n", arrived.At.Sub(p.began).Seconds(), v.Broken)
			}
		}
	}
	return greatest, err
}

// stable reports whether the store had been without disturbance for long enough at a time.
func (p *play) stable(at time.Time) bool {
	return !p.downWithin(p.site.SettleTime(), at)
}

// downWithin reports whether the store was down at a time, or shorter before it than the given duration.
func (p *play) downWithin(d time.Duration, at time.Time) bool {
	return slices.ContainsFunc(p.down, func(s span) bool { return s.covers(at, d) })
}

func (p *play) awayNames() (names [][]string) {
	for _, s := range p.away {
		names = append(names, s.routers)
	}
	return names
}

func (p *play) observed(o observation, versions []state) (v configrule.Observation) {
	v = configrule.Observation{ID: o.id, Router: o.router, Sent: o.sent, Ended: o.ended, WithdrawnAt: p.operator.withdrawnAt(o.key)}
	for _, s := range versions {
		v.Prescribed = append(v.Prescribed, s.prescribes(o.path, o.key))
	}
	switch {
	case o.service != "":
		v.Got = configrule.Handling(o.service)
	case slices.Contains([]int{401, 403, 404}, o.status):
		v.Got = configrule.Handling(fmt.Sprint(o.status))
	}
	return v
}
