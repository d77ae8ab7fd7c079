package main

import (
	"encoding/json"
	"fmt"
)

// desired is a desired state as the operator writes it.
type desired struct {
	version    int
	idleRoutes int
	keys       []string
	maxBody    int
}

const service = "app"

// encode returns the record, with a safe and an unsafe route and as many further routes as asked for.
func (d desired) encode() []byte {
	route := func(name, host, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": 3000, "goal_ms": 100, "priority": 2,
			"service": service, "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	routes := []any{route("r-book", host, "/book/", "non_idempotent"), route("r-look", host, "/look/", "idempotent")}
	for i := range d.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle%04d", i), "idle.example", fmt.Sprintf("/idle%04d/", i), "idempotent"))
	}
	value, _ := json.Marshal(map[string]any{
		"version": d.version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": d.maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "coop", "api_keys": d.keys}},
	})
	return value
}

// defaultMaxBody is the limit for bodies of the small sites.
const defaultMaxBody = 4 << 20
