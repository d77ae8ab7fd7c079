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
		"savoryfall_full_for_seconds":         func(m dispatch.Metrics) float64 { return m.FullFor.Seconds() },
		"savoryfall_load_view_age_seconds":    func(m dispatch.Metrics) float64 { return m.LoadReportAge.Seconds() },
	} {
		vm.metricSet.NewGauge(name, func() float64 { return value(vm.dispatcher.CurrentMetrics(time.Now())) })
	}
}

// writeServiceGauges writes three metrics for each service of the configuration: this router's remaining retries, the
// service's admission limit (places), and how much of the limit is in use.
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
		} {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("%s{service=%q}", metric, name), value)
		}
	}
}
