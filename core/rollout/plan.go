package rollout

import (
	"slices"
	"strings"
)

// Engine is the reported state of an engine: the models it may serve and the versions it has loaded.
type Engine struct {
	Name   string
	Models []string
	Loaded []string
}

// WantedVersion is a version or adapter that should be loaded on as many engines as Replicas says; zero means all
// engines that may serve the model.
type WantedVersion struct {
	Model    string
	Name     string
	Replicas int
}

// ID returns the identifier that engines use for the version.
func (w WantedVersion) ID() string { return w.Model + "@" + w.Name }

// Order is the complete list of versions that an engine should have loaded. An order that is delivered twice or late
// does no lasting harm, because the next comparison corrects its effect.
type Order struct {
	Engine string
	Loaded []string
	// Loads is the number of versions that the engine must fetch from the weight store for this order.
	Loads int
}

// Plan returns the orders to give now. Versions are loaded in the order of their current replicas, fewest first, with
// at most loads loads in total; versions that are no longer wanted are unloaded. An old version is kept on an engine
// until enough engines have loaded the new versions of its model, so that a model has loaded replicas throughout a
// rollout.
func Plan(wanted []WantedVersion, engines []Engine, loads int) (orders []Order) {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.Name, b.Name) })
	p := planner{wanted: wanted, engines: engines, replicas: map[string]int{}}
	for _, e := range engines {
		for _, id := range e.Loaded {
			p.replicas[id]++
		}
	}
	newLoads := p.newLoads(loads)
	for _, e := range engines {
		if o, changed := p.orderFor(e, newLoads[e.Name]); changed {
			orders = append(orders, o)
		}
	}
	return orders
}

type planner struct {
	wanted   []WantedVersion
	engines  []Engine
	replicas map[string]int
}

// newLoads selects the versions to load now, by engine: at most one per engine, and within the number of loads that the
// weight store can serve.
func (p *planner) newLoads(loads int) (newLoads map[string][]string) {
	newLoads = map[string][]string{}
	wanted := slices.Clone(p.wanted)
	slices.SortStableFunc(wanted, func(a, b WantedVersion) int { return p.replicas[a.ID()] - p.replicas[b.ID()] })
	for _, w := range wanted {
		missing := p.targetReplicas(w) - p.replicas[w.ID()]
		for _, e := range p.engines {
			if missing <= 0 || loads <= 0 {
				break
			}
			if !slices.Contains(e.Models, w.Model) || slices.Contains(e.Loaded, w.ID()) || len(newLoads[e.Name]) > 0 {
				continue
			}
			newLoads[e.Name] = append(newLoads[e.Name], w.ID())
			missing--
			loads--
		}
	}
	return newLoads
}

func (p *planner) targetReplicas(w WantedVersion) (n int) {
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

func (p *planner) orderFor(e Engine, adds []string) (o Order, changed bool) {
	o.Engine = e.Name
	for _, id := range e.Loaded {
		if p.keep(id) {
			o.Loaded = append(o.Loaded, id)
		}
	}
	o.Loaded = append(o.Loaded, adds...)
	o.Loads = len(adds)
	slices.Sort(o.Loaded)
	loaded := slices.Sorted(slices.Values(e.Loaded))
	return o, !slices.Equal(loaded, o.Loaded)
}

// keep reports whether an engine should keep a version: one that is wanted, one whose model no release note mentions,
// or one whose replacements are not fully loaded.
func (p *planner) keep(id string) bool {
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

// replaced reports whether every wanted version of the model has all its replicas. It is false if no version is wanted.
func (p *planner) replaced(model string) bool {
	found := false
	for _, w := range p.wanted {
		if w.Model != model {
			continue
		}
		found = true
		if p.replicas[w.ID()] < p.targetReplicas(w) {
			return false
		}
	}
	return found
}
