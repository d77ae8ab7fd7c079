package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/quarantine"
)

var repeated = quarantine.Subject{Account: "a", Request: 9}

// crashThree records three crashes under the request.
func crashThree(a *Agent) {
	for i := range 3 {
		now := time.Now()
		a.Quarantine.Crashed(repeated, quarantine.Crash{Process: quarantine.Process{Born: int64(i)}, Sent: now, At: now}, now)
	}
}

func refuses(a *Agent) bool { return a.Quarantine.Decide(repeated, time.Now()).Refused }

// meet exchanges messages as a call of the first to the second does.
func meet(first, second *Agent) {
	second.receive(first.newMessage(second.Members.Self().Name))
	first.receive(second.newMessage(first.Members.Self().Name))
}

func newCrashAgent(t *testing.T, name string) *Agent {
	a := newAgent(t, name, nil, nil)
	a.Quarantine = &quarantine.Table{}
	return a
}

// Guards against records of crashes that are lost with a message, or kept from a peer that has started again.
func TestCrashesReachPeers(t *testing.T) {
	first, second := newCrashAgent(t, "first"), newCrashAgent(t, "second")
	meet(first, second)
	crashThree(first)
	_ = first.newMessage("second")
	assert.Assert(t, !refuses(second))
	meet(first, second)
	assert.Assert(t, refuses(second))

	meet(first, second)
	assert.Equal(t, len(first.newMessage("second").Crashes), 0, "records that the peer has are sent again")

	again := newAgent(t, "second", nil, nil)
	again.Quarantine = &quarantine.Table{}
	meet(again, first)
	meet(again, first)
	assert.Assert(t, refuses(again))
}

// Guards against a router that starts again and is sent nothing, because its peers mean the versions of its process before.
func TestCrashesOfARouterThatStartsAgain(t *testing.T) {
	first, second := newCrashAgent(t, "first"), newCrashAgent(t, "second")
	crashThree(first)
	meet(first, second)
	meet(first, second)
	again := newCrashAgent(t, "first")
	crashThree(again)
	meet(again, second)
	meet(again, second)
	assert.Equal(t, len(again.newMessage("second").Crashes), 0)
	assert.Assert(t, refuses(second))
}
