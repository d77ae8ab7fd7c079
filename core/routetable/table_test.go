package routetable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/routetable"
)

func TestRouteMatchesLongestPrefix(t *testing.T) {
	table := routetable.New(routetable.Config{Routes: []routetable.Route{
		{Name: "all", Host: "A.example", PathPrefix: "/"},
		{Name: "x", Host: "a.example", PathPrefix: "/x/"},
		{Name: "xy", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "xy"},
		{"a.example:80", "/x/yz", "x"},
		{"A.EXAMPLE", "/x", "all"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		r := table.Route(c.host, c.path)
		got := ""
		if r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

func TestTargetsAreChosenByWeight(t *testing.T) {
	r := routetable.Route{Targets: []routetable.Target{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	assert.Equal(t, r.ChooseService(0), "a")
	assert.Equal(t, r.ChooseService(0.89), "a")
	assert.Equal(t, r.ChooseService(0.9), "b")
	assert.Equal(t, r.ChooseService(0.999), "b")
	assert.Equal(t, (&routetable.Route{}).ChooseService(0.5), "")
}
