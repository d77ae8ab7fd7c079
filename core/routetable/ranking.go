package routetable

import "slices"

// priorityIndex maps priorities to ranks. Operators choose the numbers of the priorities; only their order
// matters. The zero value has no priorities.
type priorityIndex struct {
	// routes holds the distinct priorities of the routes to each service, accounts those of all accounts, both
	// sorted.
	routes   map[string][]int
	accounts []int
}

func (p *priorityIndex) addRoute(r *Route) {
	if p.routes == nil {
		p.routes = map[string][]int{}
	}
	for _, target := range r.Targets {
		p.routes[target.Service] = insertSorted(p.routes[target.Service], r.Priority)
	}
}

func (p *priorityIndex) addAccount(a *Account) {
	if a.HasPriority {
		p.accounts = insertSorted(p.accounts, a.Priority)
	}
}

func insertSorted(list []int, priority int) []int {
	index, found := slices.BinarySearch(list, priority)
	if found {
		return list
	}
	return slices.Insert(list, index, priority)
}

// Rank returns the priority rank of a request among the requests to the service; 0 is the most urgent. Requests
// are ranked by the account's priority first, and by the route's among accounts of the same priority. With the
// account's priority alone, a draft and a quick question would rank the same wherever every account has a
// priority. An account without a priority ranks with the least urgent accounts.
func (t *Table) Rank(service string, r *Route, a *Account) int {
	routes, accounts := t.priorities.routes[service], t.priorities.accounts
	if len(routes) == 0 {
		routes = []int{r.Priority}
	}
	routeRank, _ := slices.BinarySearch(routes, r.Priority)
	if len(accounts) == 0 {
		return routeRank
	}
	accountRank := len(accounts) - 1
	if a != nil && a.HasPriority {
		accountRank, _ = slices.BinarySearch(accounts, a.Priority)
	}
	return accountRank*len(routes) + routeRank
}
