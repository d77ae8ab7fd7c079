package router

import (
	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/admission"
	"savoryfall/core/health"
	"savoryfall/core/ledger"
	"savoryfall/core/membership"
	"savoryfall/core/overflow"
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

func (r *Router) metrics() *metrics.Set      { return r.kernel.Find(nameMetrics).(*metrics.Set) }
func (r *Router) meter() *traffic.Meter      { return r.kernel.Find(nameMeter).(*traffic.Meter) }
func (r *Router) tracing() *tracing.Provider { return r.kernel.Find(nameTracing).(*tracing.Provider) }
func (r *Router) members() *membership.Table {
	return r.kernel.Find(nameMembers).(*membership.Table)
}
func (r *Router) health() *health.Table   { return r.kernel.Find(nameHealth).(*health.Table) }
func (r *Router) ledger() *ledger.Ledger  { return r.kernel.Find(nameLedger).(*ledger.Ledger) }
func (r *Router) spills() *overflow.Table { return r.kernel.Find(nameSpills).(*overflow.Table) }
func (r *Router) probe() *probe.Prober    { return r.kernel.Find(nameProbe).(*probe.Prober) }
func (r *Router) follower() *configuration.Follower {
	return r.kernel.Find(nameConfiguration).(*configuration.Follower)
}

func (r *Router) claims() *claims.Partitions {
	return r.kernel.Find(nameClaims).(*claims.Partitions)
}
func (r *Router) agent() *peer.Agent    { return r.kernel.Find(namePeers).(*peer.Agent) }
func (r *Router) gate() *admission.Gate { return r.kernel.Find(nameAdmission).(*admission.Gate) }
func (r *Router) endpoints() *endpoint.Client {
	return r.kernel.Find(nameEndpoints).(*endpoint.Client)
}
func (r *Router) front() *caller.Server { return r.kernel.Find(nameFront).(*caller.Server) }
func (r *Router) callers() *httpserver.Server {
	return r.kernel.Find(nameCallers).(*httpserver.Server)
}

func (r *Router) operatorsServer() *httpserver.Server {
	return r.kernel.Find(nameOperators).(*httpserver.Server)
}
