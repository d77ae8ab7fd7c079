package peer

import (
	"savoryfall/core/claim"
	"savoryfall/core/membership"
	"savoryfall/core/quarantine"
)

// GossipMessage is both the request and the reply of an exchange between two routers.
type GossipMessage struct {
	Self     membership.Update
	Next     int64
	Shape    uint32
	Load     []byte
	Rumours  []membership.Update
	Marks    []LeavingMark
	Findings []Finding
	Spills   []byte
	// Unattributed holds endpoints that the VM list shows as leaving without the sender knowing which incarnation. The
	// receiver replies with the leaving mark of that incarnation if it knows it.
	Unattributed []string
	// Crashes are records of requests under which endpoints crashed, up to CrashVersion of the sender. CrashesSeen is the version of the
	// receiver up to which the sender has them.
	Crashes      []quarantine.Record
	CrashVersion int64
	CrashesSeen  int64
}

// LeavingMark reports that an incarnation of an endpoint is leaving.
type LeavingMark struct {
	Endpoint    string
	Incarnation string
}

// Finding reports that an endpoint has gone down or has recovered. The receiver doesn't adopt it, but probes the
// endpoint itself: during a network partition, one router may reach an endpoint that another cannot.
type Finding struct {
	Endpoint string
	Down     bool
}

// RecordsRequest requests raw configuration records, starting at an offset.
type RecordsRequest struct {
	From int64
	Max  int
}

// Records contains raw configuration records; the first one is at the requested offset.
type Records struct {
	Records [][]byte
}

// TryRequest asks a router to call another member.
type TryRequest struct {
	Target string
}

// TryReply reports whether the target answered.
type TryReply struct {
	Heard bool
}

// Snapshot contains the configuration that a router has in force.
type Snapshot struct {
	Data   []byte
	Digest string
	Next   int64
}

// Empty is an empty request or reply.
type Empty struct{}

// News announces that a router has the configuration records before the offset Next.
type News struct {
	From string
	Next int64
}

// ClaimReply contains either the granted claim or the reason for its refusal.
type ClaimReply struct {
	Grant   claim.Grant
	Refused *claim.RefusedError
}

// SettleRequest contains the outcome of a claimed request.
type SettleRequest struct {
	Grant  claim.Grant
	Result claim.Result
}
