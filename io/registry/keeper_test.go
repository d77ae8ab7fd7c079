package registry_test

import (
	"errors"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"savoryfall/core/board"
	"savoryfall/core/directory"
	"savoryfall/io/registry"
)

var errAway = errors.New("the store is away")

// A router that could not read the store follows another hub, which tells all that it knows: also that an endpoint is
// leaving. That one is no entry that lapsed in the outage and may come back: it got new work for two seconds more.
func TestWholeWordOfAHubEndsALeavingEndpoint(t *testing.T) {
	var usable []directory.Entry
	k := registry.New(nil, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
	stays, leaves, lapsed := directory.Entry{ID: "a", Born: 1}, directory.Entry{ID: "b", Born: 1}, directory.Entry{ID: "c", Born: 1}
	k.Feed([]board.Change{{Entry: stays, Usable: true}, {Entry: leaves, Usable: true}, {Entry: lapsed, Usable: true}}, true)
	assert.DeepEqual(t, usable, []directory.Entry{stays, leaves, lapsed})
	k.Failed(errAway)
	left := leaves
	left.Leaving = true
	k.Feed([]board.Change{{Entry: stays, Usable: true}, {Entry: left}}, true)
	assert.DeepEqual(t, usable, []directory.Entry{stays, lapsed})
}

// The hub still lists the end of an earlier process; the one that has the name now keeps its work.
func TestWholeWordOfAHubEndsOnlyTheProcessItNames(t *testing.T) {
	var usable []directory.Entry
	k := registry.New(nil, func(list []directory.Entry) { usable = list }, log.NewNopLogger())
	now := directory.Entry{ID: "a", Born: 2}
	k.Feed([]board.Change{{Entry: now, Usable: true}}, true)
	k.Failed(errAway)
	k.Feed([]board.Change{{Entry: directory.Entry{ID: "a", Born: 1, Leaving: true}}}, true)
	assert.DeepEqual(t, usable, []directory.Entry{now})
}
