package routetable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/routetable"
)

// Every account has a priority, and most have the same one. Ranking by the account's priority alone would treat a
// draft and a quick question alike, so drafts would be refused in a surge of questions. The account's priority
// decides first, then the route's.
func TestRankOrdersByAccountThenRoute(t *testing.T) {
	routes := []routetable.Route{
		{Name: "draft", Priority: 0, Targets: []routetable.Target{{Service: "models"}}},
		{Name: "question", Priority: 7, Targets: []routetable.Target{{Service: "models"}}},
		{Name: "booking", Priority: 3, Targets: []routetable.Target{{Service: "plain"}}},
	}
	accounts := []routetable.Account{
		{Name: "first", HasPriority: true}, {Name: "usual", HasPriority: true, Priority: 4}, {Name: "none"},
	}
	table := routetable.New(routetable.Config{Routes: routes, Accounts: accounts})
	order := []struct{ account, route, rank int }{
		{0, 0, 0}, {0, 1, 1}, {1, 0, 2}, {1, 1, 3}, {2, 0, 2}, {2, 1, 3},
	}
	for _, o := range order {
		assert.Equal(t, table.Rank("models", &routes[o.route], &accounts[o.account]), o.rank, "%+v", o)
	}
	assert.Equal(t, table.Rank("plain", &routes[2], &accounts[1]), 1)
	assert.Equal(t, table.Rank("plain", &routes[2], &accounts[0]), 0)
	alone := routetable.New(routetable.Config{Routes: routes})
	assert.Equal(t, alone.Rank("models", &routes[1], nil), 1)
}
