package caller

import (
	"context"
	"net"
	"strconv"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/decision"
	"savoryfall/core/health"
	"savoryfall/core/identity"
	"savoryfall/core/outcome"
	"savoryfall/core/quarantine"
	"savoryfall/io/process"
)

// identify records what the request has in common with its client's other attempts. The host is none of it: it selects nothing here.
func (x *exchange) identify(pool string, body []byte) {
	x.subject = quarantine.Subject{
		Service: pool, Account: x.account.Name(),
		Request: identity.Request{Method: x.r.Method, Target: x.r.URL.RequestURI(), Body: body}.Hash(),
	}
}

// checkQuarantine refuses a request under which endpoints crashed, but for single trials.
func (x *exchange) checkQuarantine() *problem {
	if x.server.Quarantine.Empty() {
		return nil
	}
	d := x.server.Quarantine.Decide(x.subject, time.Now())
	x.trial = d.Trial
	if d.Refused {
		return quarantined(d.Part.Crashes, d.Part.TrialIn)
	}
	background.Sleep(x.ctx, d.Wait, nil)
	return nil
}

// endTrial reports a trial whose request neither crashed an endpoint nor was answered.
func (x *exchange) endTrial() {
	if x.trial {
		x.server.Quarantine.EndTrial(x.subject, x.atCrash, time.Now())
	}
}

// recordEnd records whether the endpoint answered the request completely, or its process crashed under it.
func (x *exchange) recordEnd(at *decision.Attempt, incarnation string, sent time.Time, p *problem) {
	s := x.server
	broken := x.abort || p != nil && p.outcome == outcome.Unknown && x.ctx.Err() == nil
	switch {
	case p == nil && !broken && !s.Quarantine.Empty():
		s.Quarantine.Completed(x.subject, sent, time.Now())
	case broken && !s.Health.KnownLeaving(at.Endpoint) && x.hasCrashed(at.Endpoint, incarnation):
		x.atCrash = true
		now := time.Now()
		ended := quarantine.Process{Endpoint: at.Endpoint + "/" + incarnation}
		s.Quarantine.Crashed(x.subject, quarantine.Crash{Process: ended, Sent: sent, At: now}, now)
		_ = s.Logger.Log("event", "endpointCrashed", "request", x.requestID, "account", x.account.Name(), "endpoint", at.Endpoint,
			"incarnation", incarnation, "requestKey", strconv.FormatUint(x.subject.Request, 16))
	}
}

// hasCrashed reports whether the endpoint's process has ended.
func (x *exchange) hasCrashed(name, incarnation string) bool {
	e, ok := x.config.Endpoint(name)
	if !ok || x.server.Health.State(name, time.Now()) == health.Leaving {
		return false
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return x.server.processes.Check(name+"/"+incarnation, e.Address(), dial) == process.Ended
}
