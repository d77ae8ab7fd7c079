package orders

import (
	"slices"
	"strings"
)

// Engine is one engine as it was reported.
type Engine struct {
	Name   string
	Models []string
	Loaded []string
}

// Wanted is one version or adapter that shall be held, by how many engines; zero means all that may serve the model.
type Wanted struct {
	Model    string
	Name     string
	Replicas int
}

// ID is how an engine names the version.
func (w Wanted) ID() string { return w.Model + "@" + w.Name }

// Order says what an engine shall hold, as a whole; the same order twice, or late, is undone by the next comparison.
type Order struct {
	Engine string
	Loaded []string
	// Loads is how many of them are fetched from the weight store for this order.
	Loads int
}

// Plan compares and returns the orders to give now, the most wanted first: loads of versions that fewest engines
// hold, at most loads of them, and drops of what nobody wants any more. An old version stays on an engine until
// enough engines hold the new ones of its model, so that a rollout never leaves a model without warm replicas.
func Plan(wanted []Wanted, engines []Engine, loads int) (orders []Order) {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	p := planner{wanted: wanted, engines: engines, ready: map[string]int{}}
	for _, e := range engines {
		for _, id := range e.Loaded {
			p.ready[id]++
		}
	}
	adds := p.adds(loads)
	for _, e := range engines {
		if o, changed := p.order(e, adds[e.Name]); changed {
			orders = append(orders, o)
		}
	}
	return orders
}

type planner struct {
	wanted  []Wanted
	engines []Engine
	ready   map[string]int
}

// adds picks the loads that the weight store bears now.
func (p *planner) adds(loads int) (adds map[string][]string) {
	adds = map[string][]string{}
	wanted := slices.Clone(p.wanted)
	slices.SortStableFunc(wanted, func(a, b Wanted) int { return p.ready[a.ID()] - p.ready[b.ID()] })
	for _, w := range wanted {
		missing := p.target(w) - p.ready[w.ID()]
		for _, e := range p.engines {
			if missing <= 0 || loads <= 0 {
				break
			}
			if !slices.Contains(e.Models, w.Model) || slices.Contains(e.Loaded, w.ID()) || len(adds[e.Name]) > 0 {
				continue
			}
			adds[e.Name] = append(adds[e.Name], w.ID())
			missing--
			loads--
		}
	}
	return adds
}

func (p *planner) target(w Wanted) (n int) {
	for _, e := range p.engines {
		if slices.Contains(e.Models, w.Model) {
			n++
		}
	}
	if w.Replicas > 0 {
		n = min(n, w.Replicas)
	}
	return n
}

func (p *planner) order(e Engine, adds []string) (o Order, changed bool) {
	o.Engine = e.Name
	for _, id := range e.Loaded {
		if p.stays(id) {
			o.Loaded = append(o.Loaded, id)
		}
	}
	o.Loaded = append(o.Loaded, adds...)
	o.Loads = len(adds)
	slices.Sort(o.Loaded)
	before := slices.Sorted(slices.Values(e.Loaded))
	return o, !slices.Equal(before, o.Loaded)
}

// stays keeps what is wanted, what no release note speaks of, and old versions whose successors are not ready.
func (p *planner) stays(id string) bool {
	model, _, versioned := strings.Cut(id, "@")
	if !versioned {
		return !p.replaced(model)
	}
	for _, w := range p.wanted {
		if w.ID() == id {
			return true
		}
	}
	return !p.replaced(model)
}

// replaced tells whether every wanted version of the model has all its replicas.
func (p *planner) replaced(model string) bool {
	any := false
	for _, w := range p.wanted {
		if w.Model != model {
			continue
		}
		any = true
		if p.ready[w.ID()] < p.target(w) {
			return false
		}
	}
	return any
}
