package load

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

// Run is one experiment: a plan, a policy, and the embedded fleet that is driven.
type Run struct {
	plan     *loadplan.Plan
	policy   string
	extra    map[string]string
	fleet    *fleet.Fleet
	shadow   *engine.Shadow
	client   *http.Client
	figures  *figures
	mu       sync.Mutex
	people   *population
	began    time.Time
	leaving  map[string]time.Time
	baseline map[string]map[string]uint64
	attempts uint64
	requests sync.WaitGroup
}

// New makes a run of the plan with a placement policy; extra is TOML added to the settings of the routers.
func New(p *loadplan.Plan, policy string, extra map[string]string) *Run {
	return &Run{
		plan: p, policy: policy, extra: extra, figures: newFigures(), people: newPopulation(p), leaving: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
}

const drainTime = 30 * time.Second

// Do starts the fleet, drives it through the plan and stops it.
func (r *Run) Do(ctx context.Context, logger log.Logger) (report *Report, err error) {
	defer annotate.Error(&err, "run policy %s", r.policy)
	r.fleet = fleet.New(r.options(), logger)
	err = r.fleet.Start(ctx)
	if err != nil {
		return nil, err
	}
	r.shadow = engine.NewShadow(r.plan.Engine.CacheTokens * r.plan.Fleet.Engines)
	r.began = time.Now()
	r.drive(ctx)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	report = r.figures.finish(r.plan.Duration - r.plan.Warmup)
	report.Policy = r.policy
	r.countRuns(report)
	return report, r.fleet.Stop(stop)
}

func (r *Run) options() fleet.Options {
	e := r.plan.Engine
	o := fleet.Options{
		Routers: r.plan.Fleet.Routers, Engines: r.plan.Fleet.Engines, Services: r.plan.Fleet.Services,
		FailureDomains: r.plan.Fleet.FailureDomains,
		Engine: engine.Options{
			Step: e.Step, TokensPerStep: e.TokensPerStep, Batch: e.Batch, PrefillTokens: e.PrefillTokens,
			CacheTokens: e.CacheTokens, ReportLag: e.ReportLag,
		},
		Extra: map[string]string{
			"callers": "lameDuck = \"0s\"\n",
			"routing": fmt.Sprintf("policy = %q\nbound = %v\n", r.policy, r.plan.Bound) + r.extra["routing"],
			"limits":  r.extra["limits"],
			"peers":   r.extra["peers"],
		},
	}
	for i := range r.plan.Accounts.Count {
		o.Accounts = append(o.Accounts, accountName(i))
		o.AccountWeights = append(o.AccountWeights, r.people.weights[i])
	}
	return o
}

func accountName(i int) string { return fmt.Sprintf("account-%02d", i+1) }

// drive sends requests until the plan is over, and waits for the last answers.
func (r *Run) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.sample(ctx) })
	background.Go(func() { r.disturb(ctx) })
	background.Go(func() { r.callServices(ctx) })
	r.open(ctx)
	background.Wait()
	r.requests.Wait()
}

// open is an open loop: requests come when they come, however slow the answers are.
func (r *Run) open(ctx context.Context) {
	next := r.began
	for {
		next = next.Add(r.people.gap(next.Sub(r.began)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		r.mu.Lock()
		c := r.people.next(time.Now(), time.Since(r.began))
		r.mu.Unlock()
		r.requests.Go(func() { r.ask(ctx, c) })
	}
}

func (r *Run) router(random *rand.Rand) *router.Router {
	routers := r.fleet.Routers()
	return routers[random.IntN(len(routers))]
}

func (r *Run) measured() bool { return time.Since(r.began) >= r.plan.Warmup }

// disturb plays the churn and the outages of the plan.
func (r *Run) disturb(ctx context.Context) {
	var all sync.WaitGroup
	for _, c := range r.plan.Churn {
		all.Go(func() {
			if r.sleep(ctx, c.At) {
				r.churn(ctx, c)
			}
		})
	}
	for _, o := range r.plan.Outages {
		all.Go(func() {
			if !r.sleep(ctx, o.At) {
				return
			}
			r.fleet.Log.Set(logservice.Faults{Down: true})
			r.sleep(ctx, o.At+o.For)
			r.fleet.Log.Set(logservice.Faults{})
		})
	}
	all.Wait()
}

func (r *Run) sleep(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.began.Add(at))):
		return true
	}
}

// churn kills, stops or starts an engine; a loss takes the shadow's part of the cache with it.
func (r *Run) churn(ctx context.Context, c loadplan.Churn) {
	name := fmt.Sprintf("engine-%02d", c.Engine)
	share := 1 / float64(r.plan.Fleet.Engines)
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(c.At)))
	switch c.Action {
	case loadplan.ActionKill:
		r.fleet.KillEngine(name)
		r.setLeaving(name, true)
		r.shadow.Lose(share, random)
	case loadplan.ActionLeave:
		r.fleet.Engine(name).Set(engine.Faults{Leaving: true})
		r.setLeaving(name, true)
		r.shadow.Lose(share, random)
	case loadplan.ActionStart:
		address := r.fleet.KillEngine(name)
		if r.fleet.StartEngine(ctx, name, address) == nil {
			r.setLeaving(name, false)
		}
	}
}

func (r *Run) setLeaving(name string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[name] = time.Now()
		return
	}
	delete(r.leaving, name)
}

func (r *Run) countRuns(report *Report) {
	for _, s := range r.fleet.Services() {
		for key, n := range s.Ran() {
			if key != "" && n > 1 {
				report.RunTwice++
			}
		}
	}
}
