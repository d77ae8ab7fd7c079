package connect

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/reach"
)

// Metrics count the connections to endpoints.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in the set.
func NewMetrics(set *metrics.Set, t *reach.Tracker) *Metrics {
	set.NewGauge("savoryfall_services_unreachable", func() float64 { return float64(t.UnreachableServices()) })
	return &Metrics{set: set}
}

// The values of the label by: who opened the connection, this router or another one for it.
const (
	bySelf   = "self"
	byRouter = "router"
)

func (m *Metrics) record(by string, err error, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_endpoint_connects_total{by=%q,outcome=%q}`, by, outcome(err))).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`savoryfall_endpoint_connect_seconds{by=%q}`, by)).Update(took.Seconds())
}

func outcome(err error) string {
	var t interface{ Timeout() bool }
	switch {
	case err == nil:
		return "made"
	case errors.As(err, &t) && t.Timeout():
		return "timeout"
	}
	return "failed"
}
