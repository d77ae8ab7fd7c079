package quarantine

import (
	"strconv"

	"savoryfall/core/identity"
	"savoryfall/core/prompt"
)

// Subject is what is known of a request: whose it is and what it asks of which service.
type Subject struct {
	Service string
	Model   string
	Account string
	Prompt  prompt.Chain
	// Request is the hash that identifies the request over its client's attempts, 0 if it is not known.
	Request uint64
}

// Key identifies a part of prompts, or a request over its client's attempts. Field names are part of the wire format between
// routers; those of the release before take a request for a part that no prompt has.
type Key struct {
	// Scope is the hash of the service and the model, because what a part means to one says nothing of another. Of a request it is
	// the hash of the client account.
	Scope uint64
	// Part is the id of the part, or the hash of the request.
	Part uint64
	// Request is set if the key is that of a request.
	Request bool
}

// keys returns the keys of the request and of its shared parts.
func (s Subject) keys() (keys []Key) {
	keys = s.parts()
	if s.Request != 0 {
		keys = append(keys, s.request())
	}
	return keys
}

func (s Subject) request() Key {
	return Key{Scope: s.account(), Part: s.Request, Request: true}
}

// parts returns the shared parts of the request. The last part belongs to the request or its session alone: it is in no
// other request that could be refused for it.
func (s Subject) parts() (keys []Key) {
	if len(s.Prompt) < 2 {
		return nil
	}
	scope := identity.Pair(s.Service, s.Model)
	keys = make([]Key, 0, len(s.Prompt))
	for _, p := range s.Prompt[:len(s.Prompt)-1] {
		keys = append(keys, Key{Scope: scope, Part: p.ID})
	}
	return keys
}

// account returns the hash of the client account. It is not severalAccounts, also for requests without one.
func (s Subject) account() uint64 { return identity.Pair(s.Account, "") | 1 }

// Process is the process of an endpoint: the endpoint's id, and when the process started, in Unix milliseconds.
type Process struct {
	Endpoint string
	Born     int64
}

func (p Process) hash() uint64 { return identity.Pair(p.Endpoint, strconv.FormatInt(p.Born, 10)) }
