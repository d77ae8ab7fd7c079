package command

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/dispatch"
	"savoryfall/core/quarantine"
	"savoryfall/io/bootclock"
	"savoryfall/io/clientconn"
)

// registerGauges registers the metrics that are computed when they are read.
func (vm *entryVM) registerGauges() {
	vm.metricSet.NewGauge("savoryfall_configuration_age_seconds", func() float64 {
		age, _ := vm.lease.Age(bootclock.Now())
		return age.Seconds()
	})
	vm.metricSet.NewGauge("savoryfall_configuration_version", func() float64 {
		if t := vm.configTracker.Current(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	vm.metricSet.NewGauge("savoryfall_cores", func() float64 { return float64(runtime.GOMAXPROCS(0)) })
	vm.metricSet.NewGauge("savoryfall_routers", func() float64 { return float64(vm.routers.Load()) })
	vm.registerDispatchGauges()
	vm.metricSet.NewGauge("savoryfall_fleet_state_age_seconds", func() float64 {
		age, ok := vm.hub.FleetStateAge(time.Now())
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	vm.metricSet.NewGauge("savoryfall_open_requests", func() float64 { return float64(vm.handler.ActiveRequests()) })
	vm.metricSet.NewGauge("savoryfall_waiting_limit", func() float64 {
		_, maxWaiting := vm.handler.WaitLimits()
		return float64(maxWaiting)
	})
	vm.metricSet.NewGauge("savoryfall_connections_made", func() float64 { return float64(vm.handler.Pool.ConnectionsOpened()) })
	vm.metricSet.NewGauge("savoryfall_stream_origins", func() float64 { return float64(vm.origins.Records()) })
	for name, count := range map[string]func(parts, requests quarantine.Counts) int{
		"savoryfall_parts_suspected":      func(parts, _ quarantine.Counts) int { return parts.Suspected },
		"savoryfall_parts_quarantined":    func(parts, _ quarantine.Counts) int { return parts.Quarantined },
		"savoryfall_requests_suspected":   func(_, requests quarantine.Counts) int { return requests.Suspected },
		"savoryfall_requests_quarantined": func(_, requests quarantine.Counts) int { return requests.Quarantined },
	} {
		vm.metricSet.NewGauge(name, func() float64 { return float64(count(vm.quarantine.Counts())) })
	}
	vm.metricSet.NewGauge("savoryfall_tunnels_open", func() float64 { return float64(vm.tunnels.Open()) })
	vm.metricSet.NewGauge("savoryfall_tunnels_total", func() float64 { return float64(vm.tunnels.Total()) })
	vm.metricSet.NewGauge("savoryfall_tunnel_bytes_total", func() float64 { return float64(vm.tunnels.Bytes()) })
	vm.registerMemoryGauges()
	for state, count := range map[string]func(c clientconn.Counts) int{
		"idle": clientconn.Counts.Idle, "reading": clientconn.Counts.Reading, "serving": clientconn.Counts.Serving,
	} {
		vm.metricSet.NewGauge(fmt.Sprintf("savoryfall_client_connections{state=%q}", state), func() float64 {
			return float64(count(vm.clientServer.Connections().Counts()))
		})
	}
	for _, reason := range clientconn.CloseReasons() {
		vm.metricSet.NewGauge(fmt.Sprintf("savoryfall_client_connections_ended_total{by=%q}", reason), func() float64 {
			return float64(vm.clientServer.Connections().ClosedBy(reason))
		})
	}
}

// registerMemoryGauges registers metrics of the memory that is held for clients and endpoints.
func (vm *entryVM) registerMemoryGauges() {
	vm.addBudgetGauges("savoryfall_held_bytes", &vm.memory)
	vm.addBudgetGauges("savoryfall_answer_bytes", &vm.answers)
	vm.addBudgetGauges("savoryfall_body_bytes", &vm.bodies)
	connections := vm.clientServer.Connections().Budget()
	vm.addBudgetGauges("savoryfall_connection_bytes", connections)
	vm.addBudgetGauges("savoryfall_peer_connection_bytes", &vm.peerListener.Budget)
	vm.metricSet.NewGauge("savoryfall_connection_descriptors", func() float64 {
		used, _ := connections.Descriptors()
		return float64(used)
	})
	vm.metricSet.NewGauge("savoryfall_connection_descriptors_limit", func() float64 {
		_, most := connections.Descriptors()
		return float64(most)
	})
	vm.metricSet.NewGauge("savoryfall_bodies_waiting", func() float64 {
		_, _, waiting, _ := vm.bodies.Usage()
		return float64(waiting)
	})
}

// registerDispatchGauges registers metrics of cache reuse and load balance, and of the endpoint data they are based on.
func (vm *entryVM) registerDispatchGauges() {
	for name, value := range map[string]func(m dispatch.Metrics) float64{
		"savoryfall_prompt_tokens_total":      func(m dispatch.Metrics) float64 { return float64(m.PromptTokens) },
		"savoryfall_warm_prompt_tokens_total": func(m dispatch.Metrics) float64 { return float64(m.CachedTokens) },
		"savoryfall_busiest_over_mean":        func(m dispatch.Metrics) float64 { return m.MaxOverMean },
		"savoryfall_endpoints":                func(m dispatch.Metrics) float64 { return float64(m.Endpoints) },
		"savoryfall_endpoints_failing":        func(m dispatch.Metrics) float64 { return float64(m.Failing) },
		"savoryfall_endpoints_silent":         func(m dispatch.Metrics) float64 { return float64(m.Silent) },
		"savoryfall_endpoints_paused":         func(m dispatch.Metrics) float64 { return float64(m.Paused) },
		"savoryfall_endpoints_slow":           func(m dispatch.Metrics) float64 { return float64(m.Slow) },
		"savoryfall_distrusted_reports_total": func(m dispatch.Metrics) float64 { return float64(m.DistrustedReports) },
		"savoryfall_full_for_seconds":         func(m dispatch.Metrics) float64 { return m.FullFor.Seconds() },
		"savoryfall_load_view_age_seconds":    func(m dispatch.Metrics) float64 { return m.LoadReportAge.Seconds() },
	} {
		vm.metricSet.NewGauge(name, func() float64 { return value(vm.dispatcher.CurrentMetrics(time.Now())) })
	}
	for name, value := range map[string]func(m dispatch.RetryMetrics) uint64{
		"savoryfall_retries_promised_total": func(m dispatch.RetryMetrics) uint64 { return m.Promised },
		"savoryfall_retries_returned_total": func(m dispatch.RetryMetrics) uint64 { return m.Returned },
		"savoryfall_retries_served_total":   func(m dispatch.RetryMetrics) uint64 { return m.Served },
	} {
		vm.metricSet.NewGauge(name, func() float64 { return float64(value(vm.dispatcher.RetryMetrics())) })
	}
}

// writeServiceGauges writes the metrics of each service of the configuration: this router's remaining retries, the service's admission
// limit (places), how much of the limit is in use, how far the account furthest beyond its share is, and, with overload control, the
// requests that wait for a place.
func (vm *entryVM) writeServiceGauges(w io.Writer) {
	t := vm.configTracker.Current()
	if t == nil {
		return
	}
	for _, name := range t.ServiceNames() {
		now := time.Now()
		taken, places := vm.dispatcher.Occupancy(name, now)
		for metric, value := range map[string]float64{
			"savoryfall_retries_left": vm.retries.Remaining(name, now),
			"savoryfall_places":       float64(places), "savoryfall_places_taken": float64(taken),
			"savoryfall_account_over_share": vm.mostOverShare(name, now),
		} {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("%s{service=%q}", metric, name), value)
		}
		if vm.dispatcher.OverloadControl(name, now) {
			waiting, oldest := vm.handler.Waiting(name)
			metrics.WriteGaugeUint64(w, fmt.Sprintf("savoryfall_waiting{service=%q}", name), uint64(waiting))
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("savoryfall_limit_factor{service=%q}", name), vm.dispatcher.LimitFactor(name, now))
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("savoryfall_waiting_oldest_seconds{service=%q}", name), oldest.Seconds())
		}
	}
}

// mostOverShare returns the demand over the share of the account that is furthest beyond its share of the service, 0 if none is.
func (vm *entryVM) mostOverShare(service string, now time.Time) (factor float64) {
	for _, a := range vm.dispatcher.OverShare(service, 1, now) {
		factor = max(factor, a.Demand/a.Share)
	}
	return factor
}

// budget is a number of bytes that may be held. Usage returns the bytes held, the limit, the number of holders, and how many were denied.
type budget interface {
	Usage() (held, size int64, holders int, denied uint64)
}

// addBudgetGauges adds the gauges of what is held of a budget, of its size, and of how many reservations it did not allow.
func (vm *entryVM) addBudgetGauges(name string, b budget) {
	vm.metricSet.NewGauge(name, func() float64 {
		held, _, _, _ := b.Usage()
		return float64(held)
	})
	vm.metricSet.NewGauge(name+"_limit", func() float64 {
		_, size, _, _ := b.Usage()
		return float64(size)
	})
	vm.metricSet.NewGauge(name+"_denied_total", func() float64 {
		_, _, _, denied := b.Usage()
		return float64(denied)
	})
}
