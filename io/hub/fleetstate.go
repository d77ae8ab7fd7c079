package hub

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/fleetstate"
	"savoryfall/io/traffic"
)

// FleetState holds what this router knows of endpoints, accounts and retries while overload control is active, and takes what all
// routers know together.
type FleetState interface {
	// StateInterval returns the interval between reports, 0 while there is nothing to report.
	StateInterval(now time.Time) time.Duration
	StateLimits() fleetstate.Limits
	OwnState(now time.Time) fleetstate.Report
	SetFleetState(t fleetstate.Totals, own fleetstate.Report, now time.Time)
}

// StateReport is what a router sends to its hub while overload control is active: its own state and that of the routers that
// report to it. Field names are part of the wire format.
type StateReport struct {
	From string
	// Epoch identifies the run of the hub that Number belongs to, the version up to which this router has the endpoints' states.
	Epoch, Number int64
	// Routers is how many routers' reports are in State.
	Routers int
	// Interval is the time until the next report.
	Interval time.Duration
	State    StateColumns
}

// StateReply is a hub's answer to a StateReport.
type StateReply struct {
	Epoch int64
	// Since is the version from which on the endpoints' states in State changed, 0 if they are complete. Number is the new version.
	Since, Number int64
	// Routers is how many routers' reports are in State.
	Routers int
	// Complete says that State covers the fleet and not only the routers below the hub.
	Complete bool
	State    StateColumns
}

const (
	// stateCheckInterval is how often a router checks whether a report of its state is due.
	stateCheckInterval = 100 * time.Millisecond
	// minStateInterval and maxStateInterval bound the interval that a router may state.
	minStateInterval = 100 * time.Millisecond
	maxStateInterval = 10 * time.Second
	// stateTimeout limits the wait for the answer to a report.
	stateTimeout = 400 * time.Millisecond
	// refusedInterval is how long a hub that does not take such reports, as one of an earlier release, is not asked again.
	refusedInterval = 10 * time.Second
	// countedReplies is how many replies in a row a hub must have sent for the last one to count: a new hub begins without the
	// reports of the others.
	countedReplies = 2
)

// Reasons why there are no totals of the fleet.
var (
	errNoFleetState    = errors.New("this router does not share its state")
	errForeignName     = errors.New("the report bears the name of the hub")
	errNoHubConnection = errors.New("there is no connection to a hub")
	errIncomplete      = errors.New("the hub has no totals of the fleet")
	errNewHub          = errors.New("the hub is new")
)

// fleetStates is what a hub knows of the state of its followers and of the fleet. The zero value is empty.
type fleetStates struct {
	fleetstate.Aggregator
	ledger fleetstate.Ledger

	mu sync.Mutex
	// interval is the shortest interval that followers have stated lately, last at intervalAt.
	interval   time.Duration
	intervalAt time.Time
	// countedAt is the time of the newest totals of the fleet, zero if there are none or overload control is not active.
	countedAt time.Time
}

// FleetState takes in the state that a router reports, and replies with that of the fleet.
func (s *Service) FleetState(args *StateReport, reply *StateReply) (err error) {
	a, now := s.agent, time.Now()
	switch {
	case a.FleetState == nil:
		return errNoFleetState
	case args.From == a.Self.Name:
		return errForeignName
	case a.atCapacity(args.From, now):
		return errFull
	}
	report, err := args.State.report()
	if err != nil {
		return err
	}
	a.states.recordInterval(args.Interval, now)
	a.states.AddTotals(args.From, fleetstate.Totals{Report: report, Routers: args.Routers}, now)
	t := a.states.Totals(now)
	a.states.ledger.Update(t.Endpoints, now)
	if args.Epoch == a.epoch {
		reply.Since = args.Number
	}
	t.Endpoints, reply.Number = a.states.ledger.Since(reply.Since, now)
	reply.Epoch, reply.Routers = a.epoch, t.Routers
	reply.Complete = a.HubName() == a.Self.Name || a.states.FleetKnown(now)
	reply.State = toStateColumns(&t.Report)
	return nil
}

// recordInterval records the interval that a follower states.
func (f *fleetStates) recordInterval(interval time.Duration, now time.Time) {
	interval = min(max(interval, minStateInterval), maxStateInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interval == 0 || interval <= f.interval || now.Sub(f.intervalAt) > 2*f.interval {
		f.interval, f.intervalAt = interval, now
	}
}

// followersInterval returns the shortest interval that followers have stated, 0 if none reports.
func (f *fleetStates) followersInterval(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.intervalAt) > 2*f.interval {
		return 0
	}
	return f.interval
}

func (f *fleetStates) setCountedAt(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countedAt = at
}

// FleetStateAge returns the age of the totals of the fleet. ok is false if there are none, or overload control is not active here.
func (a *Agent) FleetStateAge(now time.Time) (age time.Duration, ok bool) {
	a.states.mu.Lock()
	defer a.states.mu.Unlock()
	return now.Sub(a.states.countedAt), !a.states.countedAt.IsZero()
}

// shareState reports this router's state, and that of the routers that report to it, as often as the dispatcher asks for.
func (a *Agent) shareState(ctx context.Context) {
	// Routers that start together do not report at the same instant.
	background.Sleep(ctx, rand.N(stateCheckInterval), nil)
	e := stateExchange{agent: a}
	background.Every(ctx, stateCheckInterval, func(now time.Time) { e.check(ctx, now) })
}

// stateExchange is a router's side of the exchange of states. Only one goroutine uses it.
type stateExchange struct {
	agent *Agent
	// sentAt is when the last report was due.
	sentAt time.Time
	// activeSince is since when overload control is active here.
	activeSince time.Time
	// stale is set while the totals are too old to count, err says why there are no newer ones.
	stale bool
	err   error

	// hub and epoch identify the hub that has sent replies in a row, the last at repliedAt.
	hub       string
	epoch     int64
	replies   int
	repliedAt time.Time
	// number is the version of the states in replica.
	number  int64
	replica fleetstate.Replica
	// refused is the connection to a hub that does not take reports, which it is not asked for again until refusedUntil.
	refused      *rpc.Client
	refusedUntil time.Time
}

// check reports if it is due, and logs when the totals become too old or new again.
func (e *stateExchange) check(ctx context.Context, now time.Time) {
	a := e.agent
	own := a.FleetState.StateInterval(now)
	interval := own
	if f := a.states.followersInterval(now); f > 0 && (own == 0 || f < own) {
		interval = f
	}
	if own == 0 {
		e.activeSince, e.stale = time.Time{}, false
		a.states.setCountedAt(time.Time{})
	} else if e.activeSince.IsZero() {
		e.activeSince = now
	}
	// A tick may come a little early.
	if interval > 0 && now.Sub(e.sentAt) >= interval-stateCheckInterval/2 {
		e.sentAt = now
		e.err = e.exchange(ctx, own > 0, interval)
	}
	if own > 0 && ctx.Err() == nil {
		e.checkAge(time.Now())
	}
}

func (e *stateExchange) checkAge(now time.Time) {
	a := e.agent
	at := e.activeSince
	if age, ok := a.FleetStateAge(now); ok {
		at = now.Add(-age)
	}
	stale := now.Sub(at) > a.states.ReportTerm()
	if stale == e.stale {
		return
	}
	e.stale = stale
	if stale {
		_ = a.Logger.Log(field.Event, event.FleetStateStale, field.Hub, a.HubName(), field.StateAgeMs, now.Sub(at).Milliseconds(), field.Err, e.err)
		return
	}
	_ = a.Logger.Log(field.Event, event.FleetStateFresh, field.Hub, a.HubName(), field.Routers, a.states.Totals(now).Routers)
}

// exchange reports once, and applies the totals if they count. active is set if overload control is active here: otherwise only
// the reports of other routers are passed on.
func (e *stateExchange) exchange(ctx context.Context, active bool, interval time.Duration) (err error) {
	a, now := e.agent, time.Now()
	a.states.SetLimits(a.FleetState.StateLimits())
	var own fleetstate.Report
	if active {
		own = a.FleetState.OwnState(now)
		a.states.Add(a.Self.Name, own, now)
	}
	hub, client := a.stateHub()
	switch {
	case hub == a.Self.Name:
		a.states.ForgetFleet()
		err = e.countReply(hub, a.epoch, now)
	case client == nil:
		err = errNoHubConnection
	default:
		err = e.report(ctx, hub, client, interval, now)
	}
	if err != nil || !active {
		return err
	}
	a.states.setCountedAt(now)
	now = time.Now()
	a.FleetState.SetFleetState(a.states.Totals(now), own, now)
	return nil
}

// stateHub returns the name of this router's hub and the connection to it, nil if there is none.
func (a *Agent) stateHub() (hub string, client *rpc.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connectedTo.Name != a.hubName {
		return a.hubName, nil
	}
	return a.hubName, a.client
}

// countReply counts a reply of the hub, and returns an error if it is too early for it to count.
func (e *stateExchange) countReply(hub string, epoch int64, now time.Time) (err error) {
	if hub != e.hub || epoch != e.epoch || now.Sub(e.repliedAt) > e.agent.states.ReportTerm() {
		e.replies = 0
	}
	e.hub, e.epoch, e.repliedAt = hub, epoch, now
	e.replies++
	if e.replies < countedReplies {
		return errNewHub
	}
	return nil
}

// report sends a report to the hub, and stores the reply if it counts.
func (e *stateExchange) report(ctx context.Context, hub string, client *rpc.Client, interval time.Duration, now time.Time) (err error) {
	a := e.agent
	if client == e.refused && now.Before(e.refusedUntil) {
		return e.err
	}
	local := a.states.LocalTotals(now)
	told := local.Report
	if e.number > 0 && hub == e.hub {
		told.Endpoints = e.replica.WithoutOlder(told.Endpoints, now)
	}
	args := &StateReport{
		From: a.Self.Name, Epoch: e.epoch, Number: e.number, Routers: local.Routers, Interval: interval, State: toStateColumns(&told),
	}
	var reply StateReply
	err = a.callState(ctx, client, args, &reply)
	if errors.As(err, new(rpc.ServerError)) {
		e.refused, e.refusedUntil = client, now.Add(refusedInterval)
	}
	if err != nil {
		return err
	}
	t, err := e.apply(args, &reply, now)
	if err != nil {
		return err
	}
	err = e.countReply(hub, reply.Epoch, now)
	if err != nil {
		return err
	}
	if !reply.Complete {
		return errIncomplete
	}
	// Ages count from when the report was sent, so that they are never underestimated.
	a.states.SetFleet(t, local, now)
	return nil
}

func (a *Agent) callState(ctx context.Context, client *rpc.Client, args *StateReport, reply *StateReply) (err error) {
	a.Meter.CountCall(traffic.KindPeer)
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	call := client.Go(serviceName+".FleetState", args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return errNoReply
	}
}

// apply returns the totals in a reply to a report that was sent at the given time. A reply that does not continue from the
// previous one resets the state, so that the next report requests everything.
func (e *stateExchange) apply(args *StateReport, reply *StateReply, sent time.Time) (t fleetstate.Totals, err error) {
	t.Routers = reply.Routers
	t.Report, err = reply.State.report()
	if err == nil && reply.Since != 0 && (reply.Epoch != args.Epoch || reply.Since != args.Number) {
		err = errDiscontinuous
	}
	if err != nil {
		e.number = 0
		return t, err
	}
	e.replica.Apply(t.Endpoints, reply.Since == 0, sent)
	e.number = reply.Number
	t.Endpoints = e.replica.States(sent)
	return t, nil
}
