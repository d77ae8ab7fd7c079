package peer

import (
	"savoryfall/core/claim"
	"savoryfall/core/membership"
)

// Message is what two routers tell each other in one exchange, the same both ways.
type Message struct {
	Self     membership.Rumour
	Next     int64
	Shape    uint32
	Load     []byte
	Rumours  []membership.Rumour
	Marks    []Mark
	Findings []Finding
	Spills   []byte
}

// Mark says that an incarnation of an endpoint is leaving.
type Mark struct {
	Endpoint    string
	Incarnation string
}

// Finding says that an endpoint was seen to fall or to return. It only makes the hearer look for itself: what one
// router cannot reach behind a cut, another may reach well.
type Finding struct {
	Endpoint string
	Down     bool
}

// RecordsRequest asks for raw records of the configuration from an offset on.
type RecordsRequest struct {
	From int64
	Max  int
}

// Records are raw records of the configuration, the first one at the offset that was asked for.
type Records struct {
	Records [][]byte
}

// Probe asks a router to try another member.
type Probe struct {
	Target string
}

// Answer tells whether the target was heard.
type Answer struct {
	Heard bool
}

// Snapshot is the configuration in force of one router.
type Snapshot struct {
	Data   []byte
	Digest string
	Next   int64
}

// Nothing is an empty argument.
type Nothing struct{}

// News says that a router has the configuration up to an offset.
type News struct {
	From string
	Next int64
}

// ClaimAnswer is the right to send a call, or why there is none.
type ClaimAnswer struct {
	Grant   claim.Grant
	Refused *claim.RefusedError
}

// Settlement is the outcome of a granted call.
type Settlement struct {
	Grant  claim.Grant
	Result claim.Result
}
