package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/annotate"
	"savoryfall/core/loadplan"
	"savoryfall/io/fleet"
	"savoryfall/io/router"
	"savoryfall/io/standin/engine"
	"savoryfall/io/standin/logservice"
)

// Run is one load test of an embedded fleet, with a plan and a routing policy.
type Run struct {
	plan             *loadplan.Plan
	policy           string
	extraSettings    map[string]string
	fleet            *fleet.Fleet
	referenceCache   *engine.ReferenceCache
	client           *http.Client
	stats            *stats
	mu               sync.Mutex
	workload         *workload
	started          time.Time
	excluded         map[string]time.Time
	controlBaseline  map[string]map[string]uint64
	attemptsBaseline uint64
	inFlight         sync.WaitGroup
}

// New returns a run of the plan with a routing policy; extraSettings holds TOML that is appended to sections of the
// routers' settings, by section name.
func New(p *loadplan.Plan, policy string, extraSettings map[string]string) *Run {
	return &Run{
		plan: p, policy: policy, extraSettings: extraSettings, stats: newStats(), workload: newWorkload(p), excluded: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
}

const stopTimeout = 30 * time.Second

// Do starts the fleet, runs the plan and stops the fleet.
func (r *Run) Do(ctx context.Context, logger log.Logger) (report *Report, err error) {
	defer annotate.Error(&err, "run policy %s", r.policy)
	r.fleet = fleet.New(r.options(), logger)
	err = r.fleet.Start(ctx)
	if err != nil {
		return nil, err
	}
	r.referenceCache = engine.NewReferenceCache(r.plan.Engine.CacheTokens * r.plan.Fleet.Engines)
	r.started = time.Now()
	r.drive(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	report = r.stats.finalize(r.plan.Duration - r.plan.Warmup)
	report.Policy = r.policy
	r.countDuplicates(report)
	return report, r.fleet.Stop(stopCtx)
}

func (r *Run) options() fleet.Options {
	e := r.plan.Engine
	o := fleet.Options{
		Routers: r.plan.Fleet.Routers, Engines: r.plan.Fleet.Engines, Services: r.plan.Fleet.Services,
		FailureDomains: r.plan.Fleet.FailureDomains,
		Engine: engine.Options{
			StepInterval: e.StepTime, TokensPerStep: e.TokensPerStep, BatchSize: e.BatchSize, PrefillTokensPerStep: e.PrefillTokens,
			CacheCapacityTokens: e.CacheTokens, ReportLag: e.ReportLag,
		},
		ExtraSettings: map[string]string{
			"callers": "lameDuck = \"0s\"\n",
			"routing": fmt.Sprintf("policy = %q\nbound = %v\n", r.policy, r.plan.Bound) + r.extraSettings["routing"],
			"limits":  r.extraSettings["limits"],
			"peers":   r.extraSettings["peers"],
		},
	}
	for i := range r.plan.Accounts.Count {
		o.Accounts = append(o.Accounts, accountName(i))
		o.AccountWeights = append(o.AccountWeights, r.workload.weights[i])
	}
	return o
}

func accountName(i int) string { return fmt.Sprintf("account-%02d", i+1) }

// drive sends requests for the duration of the plan and waits for the last responses.
func (r *Run) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.sample(ctx) })
	background.Go(func() { r.injectFaults(ctx) })
	background.Go(func() { r.callServices(ctx) })
	r.generateRequests(ctx)
	background.Wait()
	r.inFlight.Wait()
}

// generateRequests sends requests in an open loop: their times do not depend on how fast responses arrive.
func (r *Run) generateRequests(ctx context.Context) {
	next := r.started
	for {
		next = next.Add(r.workload.nextInterval(next.Sub(r.started)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		r.mu.Lock()
		c := r.workload.next(time.Now(), time.Since(r.started))
		r.mu.Unlock()
		r.inFlight.Go(func() { r.runTurn(ctx, c) })
	}
}

func (r *Run) randomRouter(random *rand.Rand) *router.Router {
	routers := r.fleet.Routers()
	return routers[random.IntN(len(routers))]
}

func (r *Run) warmedUp() bool { return time.Since(r.started) >= r.plan.Warmup }

// injectFaults applies the engine churn and the log outages of the plan.
func (r *Run) injectFaults(ctx context.Context) {
	var all sync.WaitGroup
	for _, c := range r.plan.Churn {
		all.Go(func() {
			if r.sleepUntil(ctx, c.At) {
				r.applyChurn(ctx, c)
			}
		})
	}
	for _, o := range r.plan.Outages {
		all.Go(func() {
			if !r.sleepUntil(ctx, o.At) {
				return
			}
			r.fleet.Log.SetFaults(logservice.Faults{Down: true})
			r.sleepUntil(ctx, o.At+o.Duration)
			r.fleet.Log.SetFaults(logservice.Faults{})
		})
	}
	for _, c := range r.plan.Repeats {
		all.Go(func() {
			if r.sleepUntil(ctx, c.At) {
				r.repeat(ctx, c)
			}
		})
	}
	all.Wait()
}

func (r *Run) sleepUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.started.Add(at))):
		return true
	}
}

// applyChurn kills, drains or starts an engine. When an engine is lost, the reference cache loses one engine's share of
// its content.
func (r *Run) applyChurn(ctx context.Context, c loadplan.Churn) {
	name := fmt.Sprintf("engine-%02d", c.Engine)
	share := 1 / float64(r.plan.Fleet.Engines)
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(c.At)))
	switch c.Action {
	case loadplan.ActionKill:
		r.fleet.KillEngine(name)
		r.setExcluded(name, true)
		r.referenceCache.EvictShare(share, random)
	case loadplan.ActionLeave:
		r.fleet.Engine(name).SetFaults(engine.Faults{Leaving: true})
		r.setExcluded(name, true)
		r.referenceCache.EvictShare(share, random)
	case loadplan.ActionStart:
		address := r.fleet.KillEngine(name)
		if r.fleet.StartEngine(ctx, name, address) == nil {
			r.setExcluded(name, false)
		}
	}
}

func (r *Run) setExcluded(name string, excluded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if excluded {
		r.excluded[name] = time.Now()
		return
	}
	delete(r.excluded, name)
}

func (r *Run) countDuplicates(report *Report) {
	for _, s := range r.fleet.Services() {
		for key, n := range s.RunCounts() {
			if key != "" && n > 1 {
				report.DuplicatesRun++
			}
		}
	}
}
