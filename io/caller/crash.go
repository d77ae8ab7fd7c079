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

// subject returns what the request has in common with its client's other attempts. The host is none of it: it selects nothing here.
// A request whose body is not kept is not identified.
func (x *exchange) subject() quarantine.Subject {
	if x.identityHash == 0 && x.identifyingBody != nil {
		x.identityHash = identity.Request{Method: x.r.Method, Target: x.r.URL.RequestURI(), Body: x.identifyingBody}.Hash()
	}
	return quarantine.Subject{Account: x.account.Name(), Request: x.identityHash}
}

// checkQuarantine refuses a request under which endpoints crashed, but for single trials.
func (x *exchange) checkQuarantine() *problem {
	if x.server.Quarantine.Empty() {
		return nil
	}
	d := x.server.Quarantine.Decide(x.subject(), time.Now())
	x.trial = d.Trial
	if d.Refused {
		return quarantined(d.Cause.Crashes, d.Cause.TrialIn)
	}
	deadline, _ := x.ctx.Deadline()
	background.Sleep(x.ctx, d.WaitWithin(time.Until(deadline)), nil)
	return nil
}

// mayRetryAfterCrashes reports whether the crashes under the request allow another attempt.
func (x *exchange) mayRetryAfterCrashes() bool {
	return len(x.crashes)+x.server.Quarantine.Crashes(x.subject()) < quarantine.MaxCrashes
}

// recordEnd records whether the endpoint's process crashed under the request.
func (x *exchange) recordEnd(at *decision.Attempt, incarnation string, sent time.Time, p *problem) {
	broken := x.abort || p != nil && p.outcome == outcome.Unknown && x.ctx.Err() == nil
	if !broken || !x.hasCrashed(at.Endpoint, incarnation) {
		return
	}
	x.crashes = append(x.crashes, quarantine.Crash{
		Process: quarantine.Process{Endpoint: at.Endpoint + "/" + incarnation}, Sent: sent, At: time.Now(),
	})
	_ = x.server.Logger.Log("event", "endpointCrashed", "request", x.requestID, "account", x.account.Name(), "endpoint", at.Endpoint,
		"incarnation", incarnation, "requestKey", strconv.FormatUint(x.subject().Request, 16))
}

// settleCrashes reports what is known of the request at its end. The crashes under one that was answered after all show nothing, and
// its client has no reason to send it again before.
func (x *exchange) settleCrashes(p *problem) {
	q, now := x.server.Quarantine, time.Now()
	answered := p == nil && !x.abort
	if answered && !q.Empty() {
		q.Completed(x.subject(), x.startedAt, now)
	}
	if !answered {
		for _, c := range x.crashes {
			q.Crashed(x.subject(), c, now)
		}
	}
	if x.trial {
		q.EndTrial(x.subject(), len(x.crashes) > 0, now)
	}
}

// hasCrashed reports whether the endpoint's process has ended.
func (x *exchange) hasCrashed(name, incarnation string) bool {
	e, ok := x.config.Endpoint(name)
	if !ok || x.server.Health.KnownLeaving(name) || x.server.Health.State(name, time.Now()) == health.Leaving {
		return false
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return x.server.processes.Check(name+"/"+incarnation, e.Address(), dial) == process.Ended
}
