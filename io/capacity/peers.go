package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"savoryfall/core/claim"
	"savoryfall/core/health"
	"savoryfall/core/inforce"
	"savoryfall/core/membership"
	"savoryfall/core/spills"
	"savoryfall/io/meter"
	"savoryfall/io/peer"
)

// quiet is a configuration that does not change, and the claims and probes of a router that has none.
type quiet struct{}

func (quiet) Current() *inforce.Configuration                       { return &inforce.Configuration{} }
func (quiet) Ready() bool                                           { return true }
func (quiet) Records(int64, int) [][]byte                           { return nil }
func (quiet) Offer(int64, []byte)                                   {}
func (quiet) Listen(func(*inforce.Configuration))                   {}
func (quiet) Look(string)                                           {}
func (quiet) SettleHere(context.Context, claim.Grant, claim.Result) {}

func (quiet) ClaimHere(context.Context, claim.Request) (g claim.Grant, err error) { return g, nil }

// agent is one router's part in the gossip.
type agent struct {
	*peer.Agent
	meter   *meter.Meter
	members *membership.Table
	spills  *spills.Table
}

const (
	period      = time.Second
	settleTime  = 4 * time.Second
	measureTime = 6 * time.Second
	unbounded   = 1 << 30
)

func newAgent(name string, endpointCount int) (a *agent, err error) {
	a = &agent{meter: meter.New(metrics.NewSet()), spills: &spills.Table{}}
	a.members = membership.New(membership.Rumour{Name: name, Incarnation: 1}, period*3/2)
	a.Agent, err = peer.New("127.0.0.1:0", peer.Parts{
		Members: a.members, Ledger: share(endpointCount), Health: &health.Table{}, Configuration: quiet{}, Prober: quiet{},
		Claims: quiet{}, Spills: a.spills, Meter: a.meter, Logger: log.NewNopLogger(), Period: period, Budget: unbounded,
	})
	if err != nil {
		return nil, err
	}
	a.members.ListensOn(a.Address())
	return a, nil
}

func (a *agent) bytes() float64 {
	sent, received := a.meter.Bytes(meter.KindPeer)
	return float64(sent + received)
}

// gossip runs so many agents in this process, and measures what each sends and receives and the processor time.
func gossip(ctx context.Context, routers, endpointCount int) (bytesPerSecond, cpuShare float64, err error) {
	var agents []*agent
	var listed []membership.Rumour
	for i := range routers {
		a, err := newAgent(fmt.Sprintf("entry-%03d", i), endpointCount)
		if err != nil {
			return 0, 0, err
		}
		agents = append(agents, a)
		listed = append(listed, membership.Rumour{Name: a.members.Self().Name, Address: a.Address()})
	}
	for _, a := range agents {
		a.members.Listed(listed, time.Now())
		err = a.Start(ctx)
		if err != nil {
			return 0, 0, err
		}
		defer a.Kill()
	}
	pause(ctx, settleTime)
	before, used := sum(agents), cpu()
	pause(ctx, measureTime)
	each := float64(routers) * measureTime.Seconds()
	return (sum(agents) - before) / each, (cpu() - used).Seconds() / each, ctx.Err()
}

func sum(agents []*agent) (bytes float64) {
	for _, a := range agents {
		bytes += a.bytes()
	}
	return bytes
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Peers measures the gossip of one router by the number of routers, and by the number of endpoints.
func Peers(ctx context.Context) (byRouters, cpuByRouters, byEndpoints *Slope, err error) {
	byRouters = &Slope{Name: "gossip of one router, 14 endpoints", Unit: "B/s", Per: "router"}
	cpuByRouters = &Slope{Name: "gossip of one router, 14 endpoints", Unit: "% of a core", Per: "router"}
	for _, n := range []int{6, 24, 96, 240} {
		bytes, used, err := gossip(ctx, n, 14)
		if err != nil {
			return nil, nil, nil, err
		}
		byRouters.add(float64(n), bytes)
		cpuByRouters.add(float64(n), 100*used)
	}
	byEndpoints = &Slope{Name: "gossip of one router, 24 routers", Unit: "B/s", Per: "endpoint"}
	for _, n := range []int{14, 140, 1400, 2500} {
		bytes, _, err := gossip(ctx, 24, n)
		if err != nil {
			return nil, nil, nil, err
		}
		byEndpoints.add(float64(n), bytes)
	}
	byRouters.fit()
	cpuByRouters.fit()
	byEndpoints.fit()
	return byRouters, cpuByRouters, byEndpoints, nil
}
