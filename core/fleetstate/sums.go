package fleetstate

import (
	"cmp"
	"slices"
	"time"
)

// sums holds the newest state of each endpoint and the sums of contributions.
type sums struct {
	endpoints map[uint32]*endpointSum
	accounts  map[accountKey]*accountTotal
	retries   map[retryKey]int
	latencies map[uint32]latencySum
}

type endpointSum struct {
	// state is of the answer received at the time, which is zero if none is known. Its Age and HeldTokens are not used.
	state      EndpointState
	at         time.Time
	heldTokens int
}

type accountTotal struct {
	accountSum
	// reports is the number of contributions in the sum.
	reports int
}

func newSums() sums {
	return sums{
		endpoints: map[uint32]*endpointSum{}, accounts: map[accountKey]*accountTotal{}, retries: map[retryKey]int{}, latencies: map[uint32]latencySum{},
	}
}

// takeStates takes the states of answers that are newer than the known ones.
func (s *sums) takeStates(states []EndpointState, now time.Time) {
	for _, e := range states[:min(len(states), maxEndpoints)] {
		if !e.valid() || !e.answered() {
			continue
		}
		known := s.endpoint(e.Endpoint)
		at := now.Add(-e.Age)
		if known == nil || !at.After(known.at) {
			continue
		}
		if e.Lasting == 0 {
			e.Lasting = known.state.Lasting
		}
		e.Age, e.HeldTokens = 0, 0
		known.state, known.at = e, at
	}
}

// endpoint returns the sum of the endpoint, nil if there are too many.
func (s *sums) endpoint(endpoint uint32) (e *endpointSum) {
	e = s.endpoints[endpoint]
	if e == nil && len(s.endpoints) < maxEndpoints {
		e = &endpointSum{state: EndpointState{Endpoint: endpoint}}
		s.endpoints[endpoint] = e
	}
	return e
}

func (s *sums) add(c *contribution) {
	for endpoint, tokens := range c.heldTokens {
		if e := s.endpoint(endpoint); e != nil {
			e.heldTokens += tokens
		}
	}
	for key, sum := range c.accounts {
		t := s.accounts[key]
		if t == nil {
			t = &accountTotal{}
			s.accounts[key] = t
		}
		t.accountSum = t.plus(sum)
		t.reports++
	}
	for key, count := range c.retries {
		s.retries[key] += count
	}
	for service, sum := range c.latencies {
		s.latencies[service] = s.latencies[service].plus(sum)
	}
}

// remove removes what add has added.
func (s *sums) remove(c *contribution) {
	for endpoint, tokens := range c.heldTokens {
		if e := s.endpoints[endpoint]; e != nil {
			e.heldTokens = max(e.heldTokens-tokens, 0)
		}
	}
	for key, sum := range c.accounts {
		t := s.accounts[key]
		t.accountSum = t.minus(sum)
		t.reports--
		if t.reports == 0 {
			delete(s.accounts, key)
		}
	}
	for key, count := range c.retries {
		s.retries[key] -= count
		if s.retries[key] <= 0 {
			delete(s.retries, key)
		}
	}
	for service, sum := range c.latencies {
		s.latencies[service] = s.latencies[service].minus(sum)
		if s.latencies[service] == (latencySum{}) {
			delete(s.latencies, service)
		}
	}
}

// dropOld forgets endpoints of which nothing is held and no answer is new enough.
func (s *sums) dropOld(now time.Time) {
	for endpoint, e := range s.endpoints {
		if e.heldTokens == 0 && now.Sub(e.at) > StateTerm {
			delete(s.endpoints, endpoint)
		}
	}
}

// total is the sum of the sums of routers that report here and of those that do not, without accounts.
type total struct {
	endpoints map[uint32]endpointSum
	retries   map[retryKey]int
	latencies map[uint32]latencySum
}

func newTotal(parts ...*sums) (t total) {
	t = total{
		endpoints: make(map[uint32]endpointSum, len(parts[0].endpoints)), retries: make(map[retryKey]int, len(parts[0].retries)), latencies: make(map[uint32]latencySum, len(parts[0].latencies)),
	}
	for _, s := range parts {
		for endpoint, e := range s.endpoints {
			t.endpoints[endpoint] = t.endpoints[endpoint].merged(e)
		}
		for key, count := range s.retries {
			t.retries[key] += count
		}
		for service, sum := range s.latencies {
			t.latencies[service] = t.latencies[service].plus(sum)
		}
	}
	return t
}

// merged returns the newer of the two states and the sum of the tokens held.
func (e endpointSum) merged(other *endpointSum) endpointSum {
	newer, older := *other, e
	if e.at.After(other.at) {
		newer, older = e, *other
	}
	if newer.state.Lasting == 0 {
		newer.state.Lasting = older.state.Lasting
	}
	newer.heldTokens += older.heldTokens
	return newer
}

// report returns the total as a report, sorted, at a time in the given slot.
func (t *total) report(now time.Time, slot int64) (r Report) {
	for _, e := range t.endpoints {
		if e.heldTokens == 0 && e.at.IsZero() {
			continue
		}
		state := e.state
		state.HeldTokens = e.heldTokens
		if !e.at.IsZero() {
			state.Age = max(now.Sub(e.at), 0)
		}
		r.Endpoints = append(r.Endpoints, state)
	}
	slices.SortFunc(r.Endpoints, func(a, b EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	for key, count := range t.retries {
		if ahead := int(key.slot - slot); ahead >= 0 && count > 0 {
			r.Retries = append(r.Retries, PromisedRetries{Service: key.service, Rank: key.rank, Ahead: ahead, Count: count})
		}
	}
	slices.SortFunc(r.Retries, func(a, b PromisedRetries) int {
		if a.Service != b.Service || a.Rank != b.Rank {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
		}
		return cmp.Compare(a.Ahead, b.Ahead)
	})
	for service, sum := range t.latencies {
		r.Latencies = append(r.Latencies, ServiceLatency{
			Service: service, Answers: fromFixedPoint(sum.answers), TotalMs: fromFixedPoint(sum.totalMs), Refusals: fromFixedPoint(sum.refusals),
		})
	}
	slices.SortFunc(r.Latencies, func(a, b ServiceLatency) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

// serviceAccount is an account at a service, at all ranks.
type serviceAccount struct {
	service, account uint32
}

// largestAccounts returns the sums of demands, with the given number of accounts of each service by name and the others in one
// entry for each rank.
func largestAccounts(most int, parts ...*sums) (list []AccountDemand) {
	sums := make(map[accountKey]accountSum, len(parts[0].accounts))
	for _, s := range parts {
		for key, sum := range s.accounts {
			sums[key] = sums[key].plus(sum.accountSum)
		}
	}
	named := namedAccounts(sums, most)
	bySum := make(map[accountKey]accountSum, len(named))
	for key, sum := range sums {
		if key.account != 0 {
			// Each router that names the account has counted it.
			sum.accounts = 1
		}
		if !named[serviceAccount{service: key.service, account: key.account}] {
			key.account = 0
		}
		bySum[key] = bySum[key].plus(sum)
	}
	for key, sum := range bySum {
		if sum.accounts > 0 {
			list = append(list, AccountDemand{
				Service: key.service, Rank: key.rank, Account: key.account, Accounts: sum.accounts, Arrivals: fromFixedPoint(sum.arrivals),
			})
		}
	}
	slices.SortFunc(list, func(a, b AccountDemand) int {
		if a.Service != b.Service || a.Rank != b.Rank {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank))
		}
		return cmp.Compare(a.Account, b.Account)
	})
	return list
}

// namedAccounts returns the accounts with the most arrivals of each service.
func namedAccounts(sums map[accountKey]accountSum, most int) (named map[serviceAccount]bool) {
	type candidate struct {
		serviceAccount
		arrivals int64
	}
	arrivals := map[serviceAccount]int64{}
	for key, sum := range sums {
		if key.account != 0 {
			arrivals[serviceAccount{service: key.service, account: key.account}] += sum.arrivals
		}
	}
	candidates := make([]candidate, 0, len(arrivals))
	for account, n := range arrivals {
		candidates = append(candidates, candidate{serviceAccount: account, arrivals: n})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.service != b.service || a.arrivals == b.arrivals {
			return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.account, b.account))
		}
		return cmp.Compare(b.arrivals, a.arrivals)
	})
	named = make(map[serviceAccount]bool, len(candidates))
	counted := map[uint32]int{}
	for _, c := range candidates {
		if counted[c.service] < most {
			counted[c.service]++
			named[c.serviceAccount] = true
		}
	}
	return named
}
