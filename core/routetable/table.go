package routetable

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines whether a request may be repeated and whether its response is a stream.
type Kind int

// The kinds of routes. A stream may be continued on another endpoint only if its route is resumable; otherwise it
// runs once.
const (
	NonIdempotent Kind = iota
	Idempotent
	Stream
	ResumableStream
)

// Repeatable returns whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming returns whether the response is a stream of events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// Route determines the targets and limits for the requests to a host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout limits the total time of a request. Goal is the time within which a response has its full value to
	// the client. Pause is the longest gap between two events of a stream that still counts as on time.
	Timeout      time.Duration
	ResponseGoal time.Duration
	MaxEventGap  time.Duration
	Priority     int
	MaxAttempts  int
	// Public routes need no key.
	Public bool
}

// Target is a service that handles a share of a route's requests in proportion to its weight.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections limits the connections to one endpoint from all callers together.
	MaxConnections int
	// Engine is set if the endpoints are model engines. Slots is how many requests an engine runs concurrently.
	Engine bool
	Slots  int
	// CacheTokens is how many prompt tokens an engine keeps in its cache.
	CacheTokens int
	// ColdFor is how long an endpoint is cold after it has started. ColdPerSecond is the request rate that it can
	// handle in that time; 0 means no limit.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Account is a client account and the keys that identify it.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}

// Limits restrict what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is an immutable index of one version of the configuration.
type Table struct {
	version       int64
	byHost        map[string][]*Route
	services      map[string]*Service
	accountsByKey map[string]*Account
	requiresKey   bool
	limits        Limits
	routeCount    int
	priorities    priorityIndex
	// resumed are the services that resumable streams may be sent to.
	resumed map[string]bool
}

// Config are the parts of the configuration that a Table is built from.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// RequireKey is set if requests need a key unless their route is public.
	RequireKey bool
	Limits     Limits
}

// New builds a table from the contents.
func New(c Config) *Table {
	t := &Table{
		version: c.Version, byHost: map[string][]*Route{}, services: map[string]*Service{},
		accountsByKey: map[string]*Account{}, requiresKey: c.RequireKey, limits: c.Limits, routeCount: len(c.Routes),
		resumed: map[string]bool{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.priorities.addRoute(r)
		for _, target := range r.Targets {
			t.resumed[target.Service] = t.resumed[target.Service] || r.Kind == ResumableStream
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		t.priorities.addAccount(&c.Accounts[i])
		for _, key := range c.Accounts[i].Keys {
			t.accountsByKey[key] = &c.Accounts[i]
		}
	}
	return t
}

// Version returns the version number of the configuration; newer versions have higher numbers.
func (t *Table) Version() int64 { return t.version }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }

// Limits returns the limits on what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKey returns whether requests need a key unless their route is public.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceNames returns the names of all services, sorted.
func (t *Table) ServiceNames() (names []string) {
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// AccountByKey returns the client account that holds the key, or nil.
func (t *Table) AccountByKey(key string) *Account { return t.accountsByKey[key] }

// Resumes reports whether streams of the service may be resumed.
func (t *Table) Resumes(service string) bool { return t.resumed[service] }

// Route returns the route of the host with the longest matching path prefix, or nil. A port in the host is
// ignored.
func (t *Table) Route(host, path string) (best *Route) {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// HasTarget reports whether the route may send requests to the service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// ChooseService chooses a service by weight; draw is uniform in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
