package origin

import (
	"time"

	"savoryfall/core/directory"
	"savoryfall/core/identity"
)

// Origin is the endpoint that wrote the first event of a stream. What endpoints of two software versions write does not
// fit together, and endpoints do not check it. Field names are part of the wire format between routers.
type Origin struct {
	Service string
	// Version is the version of the endpoint's software, empty if it is unknown.
	Version string
	// Endpoint and Born name the endpoint's process. They are empty if only the version is known.
	Endpoint string
	Born     int64
	// SentAt is when the request was sent to the endpoint, in Unix milliseconds.
	SentAt int64
}

// Of returns the origin of a stream that is sent to the endpoint.
func Of(e directory.Entry, now time.Time) Origin {
	return Origin{Service: e.Service, Version: e.Version, Endpoint: e.ID, Born: e.Born, SentAt: now.UnixMilli()}
}

// Continues reports whether the endpoint may continue the stream. An unknown version is that of the same process only.
func (o *Origin) Continues(e directory.Entry) bool {
	if o.Service != e.Service {
		return false
	}
	return o.Version != "" && o.Version == e.Version || o.isProcess(e)
}

func (o *Origin) isProcess(e directory.Entry) bool {
	return o.Endpoint != "" && o.Endpoint == e.ID && o.Born != 0 && o.Born == e.Born
}

// restartSlack is how long after the request was sent a process may have started and still have received it. It covers
// the time to connect and clocks that differ by two seconds.
const restartSlack = 3 * time.Second

// Doubtful reports whether the endpoint that is now listed under the id may have written the first event, as a process of
// another version that had started before the router knew it.
func (o *Origin) Doubtful(listed directory.Entry) bool {
	return o.Endpoint == listed.ID && o.Born != listed.Born && o.Version != listed.Version &&
		listed.Born > o.Born && listed.Born <= o.SentAt+restartSlack.Milliseconds()
}

// Key identifies a stream by its client account and the client's attempt that brought its first event. An account cannot
// name the streams of another one.
func Key(account, attempt string) uint64 { return identity.Attempt(account, attempt) }
