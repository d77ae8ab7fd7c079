package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"savoryfall/platform/configrule"
)

// The names of the deployment.
const (
	host         = "play.example"
	mainAccount  = "main"
	mainKey      = "k3y0fma1n00000000000"
	firstService = "first"
	otherService = "other"
	slowService  = "slow"
	modelService = "models"
)

// state is a configuration: which service each route leads to, which keys there are, and the timeout of the slow route.
type state struct {
	routes  map[string]string
	keys    map[string]string
	timeout time.Duration
}

// operator writes configurations and remembers when each was taken.
type operator struct {
	put func(value []byte)

	mu           sync.Mutex
	versions     []state
	acknowledged []time.Time
	number       int64
	changes      int
	withdrawn    map[string]time.Time
}

// The paths of the routes.
const (
	pathRead = "/read/"
	pathBook = "/book/"
	pathMove = "/move/"
	pathSlow = "/slow/"
	pathText = "/text/"
)

// slowTimeouts are the timeouts of the slow route, by turns.
var slowTimeouts = []time.Duration{900 * time.Millisecond, 400 * time.Millisecond}

// spareKeys is how many keys there are to be taken away, spareRoutes how many routes there are to be removed.
const (
	spareKeys   = 60
	spareRoutes = 60
)

func newOperator(put func(value []byte)) *operator {
	first := state{routes: map[string]string{
		pathRead: firstService, pathBook: firstService, pathMove: firstService, pathSlow: slowService, pathText: modelService,
	}, keys: map[string]string{mainKey: mainAccount}, timeout: slowTimeouts[0]}
	for i := range spareKeys {
		// Each second account has one key only.
		first.keys[spareKey(i)] = fmt.Sprintf("account%d", i/2+i%2*1000)
		if i%2 == 0 {
			first.keys[spareKey(i)+"b"] = first.keys[spareKey(i)]
		}
	}
	for i := range spareRoutes {
		first.routes[spareRoute(i)] = firstService
	}
	o := &operator{put: put, withdrawn: map[string]time.Time{}}
	o.write(first)
	return o
}

func spareKey(i int) string   { return fmt.Sprintf("spare%015d", i) }
func spareRoute(i int) string { return fmt.Sprintf("/spare%d/", i) }
func addedRoute(i int) string { return fmt.Sprintf("/added%d/", i) }

func (s state) clone() (c state) {
	c = state{routes: map[string]string{}, keys: map[string]string{}, timeout: s.timeout}
	for k, v := range s.routes {
		c.routes[k] = v
	}
	for k, v := range s.keys {
		c.keys[k] = v
	}
	return c
}

func (o *operator) change(change func(s *state)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.versions[len(o.versions)-1].clone()
	change(&s)
	o.write(s)
}

// write writes a configuration with a version that is higher by an uneven step.
func (o *operator) write(s state) {
	o.number += 1 + o.number%3
	value, err := json.Marshal(s.document(o.number))
	if err != nil {
		panic("encode a configuration: " + err.Error())
	}
	o.put(value)
	o.versions, o.acknowledged = append(o.versions, s), append(o.acknowledged, time.Now())
}

// changeRoutes moves a route to another service, adds one, and removes one.
func (o *operator) changeRoutes() {
	o.change(func(s *state) {
		s.routes[pathMove] = map[string]string{firstService: otherService, otherService: firstService}[s.routes[pathMove]]
		s.routes[addedRoute(o.changes)] = firstService
		delete(s.routes, spareRoute(o.changes))
		o.changes++
	})
}

// changeTimeout changes the timeout of the slow route.
func (o *operator) changeTimeout() {
	o.change(func(s *state) {
		if s.timeout == slowTimeouts[0] {
			s.timeout = slowTimeouts[1]
		} else {
			s.timeout = slowTimeouts[0]
		}
	})
}

// withdrawKey takes a key away: the only one of its account, or one of two.
func (o *operator) withdrawKey(last bool) {
	key := ""
	o.change(func(s *state) {
		i := 0
		if last {
			i = 1
		}
		for ; s.keys[spareKey(i)] == ""; i += 2 {
			if i >= spareKeys {
				return
			}
		}
		key = spareKey(i)
		delete(s.keys, key)
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn[key] = o.acknowledged[len(o.acknowledged)-1]
}

// snapshot returns the versions so far, and when each was taken.
func (o *operator) snapshot() (versions []state, acknowledged []time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]state(nil), o.versions...), append([]time.Time(nil), o.acknowledged...)
}

func (o *operator) withdrawnAt(key string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.withdrawn[key]
}

// prescribes returns how a configuration has a request handled.
func (s state) prescribes(path, key string) configrule.Handling {
	service := s.routes[path]
	switch {
	case service == "":
		return configrule.NotFound
	case s.keys[key] == "":
		return configrule.Unauthorized
	}
	return configrule.Handling(service)
}

// document returns the configuration in the format of the store.
func (s state) document(version int64) map[string]any {
	var routes []map[string]any
	for path, service := range s.routes {
		kind, timeout := "idempotent", 3*time.Second
		switch path {
		case pathBook:
			kind = "non_idempotent"
		case pathText:
			kind = "streaming"
		case pathSlow:
			timeout = s.timeout
		}
		routes = append(routes, map[string]any{
			"name": path, "host": host, "path_prefix": path, "type": kind, "timeout_ms": timeout.Milliseconds(), "goal_ms": 100, "priority": 1,
			"service": service, "max_attempts": 2,
		})
	}
	byAccount := map[string][]string{}
	for key, account := range s.keys {
		byAccount[account] = append(byAccount[account], key)
	}
	var accounts []map[string]any
	for account, keys := range byAccount {
		accounts = append(accounts, map[string]any{"name": account, "api_keys": keys})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": accounts,
		"services": []map[string]any{
			{"name": firstService},
			{"name": otherService},
			{"name": slowService},
			{"name": modelService, "engine": map[string]any{"slots": 64, "kv_capacity": 500000}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 20000},
	}
}
