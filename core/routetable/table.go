package routetable

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of routes. A stream may go on elsewhere only when its route is resumable; otherwise it runs once.
const (
	NonIdempotent Kind = iota
	Idempotent
	Stream
	ResumableStream
)

// Repeatable tells whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming tells whether the answer is a stream of events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// Route is where the requests of a host and path prefix go, and within which bounds.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout bounds how long a request is kept; Goal is when an answer has its full worth, Pause the longest
	// pause between two events of a stream for which it is still on time.
	Timeout     time.Duration
	Goal        time.Duration
	Pause       time.Duration
	Priority    int
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Target is a service that serves a part of a route's requests, by weight.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is how many connections an endpoint takes from all callers together.
	MaxConnections int
	// Engine tells that the endpoints are model engines; Slots is how many requests one runs at once.
	Engine bool
	Slots  int
	// CacheTokens is how many tokens of prompts an engine keeps.
	CacheTokens int
	// ColdFor is how long an endpoint is cold after its start, ColdPerSecond how many requests it bears in that time, 0 for
	// any number.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Account is a client account with the keys that show it.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route when HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration, indexed for look-up; it never changes.
type Table struct {
	version  int64
	byHost   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	keyed    bool
	limits   Limits
	routes   int
	ranks    ranking
}

// Contents are what a table is built from.
type Contents struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keyed tells that requests need a key unless their route is public.
	Keyed  bool
	Limits Limits
}

// New indexes the contents.
func New(c Contents) *Table {
	t := &Table{
		version: c.Version, byHost: map[string][]*Route{}, services: map[string]*Service{},
		accounts: map[string]*Account{}, keyed: c.Keyed, limits: c.Limits, routes: len(c.Routes),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.ranks.addRoute(r)
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		t.ranks.addAccount(&c.Accounts[i])
		for _, key := range c.Accounts[i].Keys {
			t.accounts[key] = &c.Accounts[i]
		}
	}
	return t
}

// Version is the number of this configuration; newer ones are higher.
func (t *Table) Version() int64 { return t.version }

// Routes is how many routes there are.
func (t *Table) Routes() int { return t.routes }

// Limits bound what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// Keyed tells whether requests need a key unless their route is public.
func (t *Table) Keyed() bool { return t.keyed }

// Service is the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services are the names of all services, in order.
func (t *Table) Services() (names []string) {
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Account is the client account that holds the key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// Route is the route with the longest prefix of the path among those of the host, or nil. A port in the host is
// left out of the comparison.
func (t *Table) Route(host, path string) (best *Route) {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Target picks a service by weight; draw is uniform in [0, 1).
func (r *Route) Target(draw float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := draw * sum
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
