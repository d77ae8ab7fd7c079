package command

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/io/clientconn"
)

// closeLogPeriod is how often closed connections are logged. A line for each of a crowd's connections would crowd out all others.
const closeLogPeriod = 5 * time.Second

// closeLog logs how many connections were closed for their clients' behaviour, or for others.
type closeLog struct {
	Logger  log.Logger
	counts  []*closeCount
	running background.Group
	cancel  context.CancelFunc
}

// closeCount is the number of connections of a listener that were closed for a reason.
type closeCount struct {
	listener string
	reason   clientconn.CloseReason
	value    func() uint64
	logged   uint64
}

// add adds a count, before the log is started.
func (l *closeLog) add(listener string, reason clientconn.CloseReason, value func() uint64) {
	l.counts = append(l.counts, &closeCount{listener: listener, reason: reason, value: value})
}

// Start logs in the background.
func (l *closeLog) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { background.Every(ctx, closeLogPeriod, func(time.Time) { l.logNew() }) })
	return nil
}

// Stop ends the background work and logs what has not been logged.
func (l *closeLog) Stop(context.Context) error {
	l.cancel()
	l.running.Stop()
	l.logNew()
	return nil
}

func (l *closeLog) logNew() {
	for _, c := range l.counts {
		n := c.value()
		if n > c.logged {
			_ = l.Logger.Log(field.Event, event.ConnectionsClosed, field.Listener, c.listener, field.Reason, c.reason, field.Count, n-c.logged)
			c.logged = n
		}
	}
}
