package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/dispatch"
	"savoryfall/core/request"
	"savoryfall/core/routetable"
	"savoryfall/io/process"
)

// Metrics are the metrics of client requests. Their labels are kinds, reasons and endpoint services, so that the number
// of series does not grow with the number of accounts and routes.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics creates metrics that are registered in the set on first use.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) recordServed(kind string, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_requests_total{kind=%q,status="%d",reason="served"}`, kind, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`savoryfall_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

func (m *Metrics) recordRefused(kind string, p *request.Problem) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_requests_total{kind=%q,outcome=%q,reason=%q}`, kind, p.Outcome, p.Reason)).Inc()
}

// recordAttempt counts an attempt at an endpoint of the service and records how long it occupied the endpoint.
func (m *Metrics) recordAttempt(service string, v dispatch.Verdict, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_attempts_total{service=%q,verdict=%q}`, service, v)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`savoryfall_attempt_seconds{service=%q}`, service)).Update(took.Seconds())
}

// recordInfeasible counts a choice for which no endpoint of the service was expected to serve the request in time.
func (m *Metrics) recordInfeasible(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_infeasible_total{service=%q}`, service)).Inc()
}

// recordEstimate records the expected and the actual time to the first event of an attempt at the service.
func (m *Metrics) recordEstimate(service string, expected, actual time.Duration) {
	m.set.GetOrCreateFloatCounter(fmt.Sprintf(`savoryfall_expected_first_event_seconds_total{service=%q}`, service)).Add(expected.Seconds())
	m.set.GetOrCreateFloatCounter(fmt.Sprintf(`savoryfall_actual_first_event_seconds_total{service=%q}`, service)).Add(actual.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`savoryfall_first_event_estimate_error_seconds{service=%q}`, service)).Update((expected - actual).Abs().Seconds())
}

// recordBroken counts an answer that has broken off or was given up, by what became of the endpoint's process.
func (m *Metrics) recordBroken(service string, s process.State) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_answers_broken_total{service=%q,state=%q}`, service, s)).Inc()
}

// recordInvalidLoad counts an answer of the service with a load that cannot be read.
func (m *Metrics) recordInvalidLoad(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`savoryfall_load_reports_invalid_total{service=%q}`, service)).Inc()
}

// recordInvalidHint counts a request with an estimate of its output that is no positive number.
func (m *Metrics) recordInvalidHint() {
	m.set.GetOrCreateCounter("savoryfall_length_hints_invalid_total").Inc()
}

func (m *Metrics) recordFirstEvent(kind string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`savoryfall_first_event_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

func (x *exchange) recordFirstEvent() {
	x.handler.Metrics.recordFirstEvent(x.kind(), time.Since(x.began))
}

// kind returns the value of the label for the route's kind.
func (x *exchange) kind() string {
	if x.route == nil {
		return "none"
	}
	switch x.route.Kind {
	case routetable.Idempotent:
		return "idempotent"
	case routetable.NonIdempotent:
		return "nonIdempotent"
	case routetable.ResumableStream:
		return "resumableStream"
	}
	return "stream"
}
