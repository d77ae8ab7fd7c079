package router

import (
	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/admission"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/core/overflow"
	"savoryfall/core/quarantine"
	"savoryfall/io/caller"
	"savoryfall/io/claims"
	"savoryfall/io/configuration"
	"savoryfall/io/endpoint"
	"savoryfall/io/httpserver"
	"savoryfall/io/peer"
	"savoryfall/io/probe"
	"savoryfall/io/tracing"
	"savoryfall/io/traffic"
)

// The methods below look up a registered service by name and assert its type.

func (r *Router) metrics() *metrics.Set      { return r.manager.Find(nameMetrics).(*metrics.Set) }
func (r *Router) meter() *traffic.Meter      { return r.manager.Find(nameMeter).(*traffic.Meter) }
func (r *Router) tracing() *tracing.Provider { return r.manager.Find(nameTracing).(*tracing.Provider) }

func (r *Router) members() *membership.Table {
	return r.manager.Find(nameMembers).(*membership.Table)
}
func (r *Router) health() *health.Table      { return r.manager.Find(nameHealth).(*health.Table) }
func (r *Router) ledger() *ledger.Ledger     { return r.manager.Find(nameLedger).(*ledger.Ledger) }
func (r *Router) overflows() *overflow.Table { return r.manager.Find(nameOverflows).(*overflow.Table) }

func (r *Router) quarantine() *quarantine.Table {
	return r.manager.Find(nameQuarantine).(*quarantine.Table)
}
func (r *Router) probe() *probe.Prober { return r.manager.Find(nameProbe).(*probe.Prober) }
func (r *Router) follower() *configuration.Follower {
	return r.manager.Find(nameConfiguration).(*configuration.Follower)
}

func (r *Router) claims() *claims.Partitions {
	return r.manager.Find(nameClaims).(*claims.Partitions)
}
func (r *Router) agent() *peer.Agent    { return r.manager.Find(namePeers).(*peer.Agent) }
func (r *Router) gate() *admission.Gate { return r.manager.Find(nameAdmission).(*admission.Gate) }
func (r *Router) endpoints() *endpoint.Client {
	return r.manager.Find(nameEndpoints).(*endpoint.Client)
}

func (r *Router) callerServer() *caller.Server {
	return r.manager.Find(nameCallerServer).(*caller.Server)
}

func (r *Router) callers() *httpserver.Server {
	return r.manager.Find(nameCallers).(*httpserver.Server)
}

func (r *Router) operatorsServer() *httpserver.Server {
	return r.manager.Find(nameOperators).(*httpserver.Server)
}
