package loadplan

import (
	"time"

	"savoryfall/core/tomldoc"
)

// Plan describes a load test: the fleet, the traffic and the faults to inject. Its fields are exported because only the
// load tool uses it, and only for reading.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Bound is the value of the setting routing.bound for this test.
	Bound    float64
	Warmup   time.Duration
	Fleet    Fleet
	Engine   Engine
	Accounts Accounts
	Chats    Chats
	Surges   []Surge
	Churn    []Churn
	Outages  []Outage
	Repeats  []Repeat
}

// Fleet holds the numbers of processes and the failure domains that they are spread over.
type Fleet struct {
	Routers        int
	Engines        int
	Services       int
	FailureDomains []string
}

// Engine configures the simulated engines.
type Engine struct {
	StepTime      time.Duration
	TokensPerStep int
	BatchSize     int
	PrefillTokens int
	CacheTokens   int
	ReportLag     time.Duration
}

// Accounts configures the client accounts, whose request rates follow a Zipf distribution.
type Accounts struct {
	Count int
	Zipf  float64
}

// Chats configures the traffic. The routers do not know any of it.
type Chats struct {
	RequestsPerSecond float64
	CallsPerSecond    float64
	Pause             time.Duration
	Turns             int
	SystemTokens      int
	OpeningTokens     int
	TurnTokens        int
	ShortTokens       int
	LongTokens        int
	LongShare         float64
	TicketShare       float64
}

// Surge multiplies the request rate of an account for some time. Account is its rank by request rate, starting at 1.
type Surge struct {
	AccountRank int
	At          time.Duration
	Duration    time.Duration
	Factor      float64
}

// The actions of Churn.
const (
	ActionKill  = "kill"
	ActionLeave = "leave"
	ActionStart = "start"
)

// Churn kills, stops or starts an engine at a given time.
type Churn struct {
	At     time.Duration
	Engine int
	Action string
}

// Outage is an interval in which the log service is unavailable.
type Outage struct {
	At       time.Duration
	Duration time.Duration
}

// Repeat is an interval in which a client sends one chat again and again that crashes each engine.
type Repeat struct {
	At       time.Duration
	Duration time.Duration
	// Pause is the time between two attempts, Down how long a crashed engine takes to be back.
	Pause time.Duration
	Down  time.Duration
}

const maxDuration = 10 * time.Minute

// Parse parses and validates a plan. The error is a tomldoc.Errors that lists all errors.
func Parse(file string, data []byte) (p *Plan, err error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	t := doc.Root()
	p = &Plan{
		Seed:     uint64(t.Int("seed", 1, 1, 1<<40)),
		Duration: t.Duration("duration", 30*time.Second, time.Second, maxDuration),
		Bound:    t.Float("bound", 1.3, 1.01, 100),
		Warmup:   t.Duration("warmup", 5*time.Second, 0, maxDuration),
	}
	p.readFleet(t.Table("fleet"))
	p.readEngine(t.Table("engine"))
	p.readAccounts(t.Table("accounts"))
	p.readChats(t.Table("chats"))
	p.readFaults(t)
	return p, doc.Err()
}

func (p *Plan) readFleet(t *tomldoc.Table) {
	p.Fleet = Fleet{
		Routers:        int(t.Int("routers", 6, 1, 100)),
		Engines:        int(t.Int("engines", 10, 1, 1000)),
		Services:       int(t.Int("services", 4, 0, 100)),
		FailureDomains: t.Strings("failureDomains"),
	}
}

func (p *Plan) readEngine(t *tomldoc.Table) {
	p.Engine = Engine{
		StepTime:      t.Duration("step", 40*time.Millisecond, time.Millisecond, time.Second),
		TokensPerStep: int(t.Int("tokensPerStep", 4, 1, 1000)),
		BatchSize:     int(t.Int("batch", 64, 1, 10000)),
		PrefillTokens: int(t.Int("prefillTokensPerStep", 8192, 1, 1<<30)),
		CacheTokens:   int(t.Int("cacheTokens", 200_000, 1, 1<<40)),
		ReportLag:     t.Duration("reportLag", 300*time.Millisecond, 0, time.Minute),
	}
}

func (p *Plan) readAccounts(t *tomldoc.Table) {
	p.Accounts = Accounts{
		Count: int(t.Int("count", 10, 1, 100000)),
		Zipf:  t.Float("zipf", 1.3, 1.01, 10),
	}
}

func (p *Plan) readChats(t *tomldoc.Table) {
	p.Chats = Chats{
		RequestsPerSecond: t.Float("requestsPerSecond", 100, 0.1, 100000),
		CallsPerSecond:    t.Float("callsPerSecond", 0, 0, 100000),
		Pause:             t.Duration("pause", 4*time.Second, time.Millisecond, maxDuration),
		Turns:             int(t.Int("turns", 6, 1, 1000)),
		SystemTokens:      int(t.Int("systemTokens", 200, 1, 1<<20)),
		OpeningTokens:     int(t.Int("openingTokens", 300, 1, 1<<20)),
		TurnTokens:        int(t.Int("turnTokens", 80, 1, 1<<20)),
		ShortTokens:       int(t.Int("shortTokens", 40, 1, 1<<16)),
		LongTokens:        int(t.Int("longTokens", 300, 1, 1<<16)),
		LongShare:         t.Float("longShare", 0.3, 0, 1),
		TicketShare:       t.Float("ticketShare", 0.5, 0, 1),
	}
}

func (p *Plan) readFaults(t *tomldoc.Table) {
	for _, s := range t.Tables("surges") {
		p.Surges = append(p.Surges, Surge{
			AccountRank: int(s.Int("account", 1, 1, 100000)), At: s.Duration("at", 0, 0, maxDuration),
			Duration: s.Duration("for", 5*time.Second, 0, maxDuration), Factor: s.Float("times", 20, 1, 1000),
		})
	}
	for _, c := range t.Tables("churn") {
		p.Churn = append(p.Churn, Churn{
			At: c.Duration("at", 0, 0, maxDuration), Engine: int(c.Int("engine", 1, 1, 1000)),
			Action: c.Choice("action", ActionKill, ActionKill, ActionLeave, ActionStart),
		})
	}
	for _, o := range t.Tables("outages") {
		p.Outages = append(p.Outages, Outage{
			At: o.Duration("at", 0, 0, maxDuration), Duration: o.Duration("for", time.Second, 0, maxDuration),
		})
	}
	for _, c := range t.Tables("repeats") {
		p.Repeats = append(p.Repeats, Repeat{
			At: c.Duration("at", 0, 0, maxDuration), Duration: c.Duration("for", 10*time.Second, 0, maxDuration),
			Pause: c.Duration("pause", 50*time.Millisecond, time.Millisecond, maxDuration), Down: c.Duration("down", time.Second, 0, maxDuration),
		})
	}
}
