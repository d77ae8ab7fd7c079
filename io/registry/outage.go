package registry

import "time"

// outage tells an outage of the store, in which entries lapse because endpoints cannot renew them, from a store that turns away
// this router. The zero value knows of no read.
type outage struct {
	heartbeat time.Duration
	// newest is when the newest read was sent that succeeded, by this router or another, and knownAt when that was known here.
	newest  time.Duration
	knownAt time.Time
	// failed is set if a read of this router has failed since.
	failed bool
}

// lapseHeartbeats is how many heartbeats an endpoint has to miss, after one written right before, until its entry lapses.
const lapseHeartbeats = 2

// defaultHeartbeat is the interval of heartbeats if none was set.
const defaultHeartbeat = time.Second

// recordRead records a read that was sent at the given time since boot. A report of an earlier read shows nothing.
func (o *outage) recordRead(sent time.Duration, now time.Time) {
	if sent > o.newest || o.knownAt.IsZero() {
		o.newest, o.knownAt, o.failed = sent, now, false
	}
}

func (o *outage) recordFailure() { o.failed = true }

// mayHaveLapsed reports whether entries of endpoints that are up may have lapsed: this router could not read, and no router is
// known to have read for so long.
func (o *outage) mayHaveLapsed(now time.Time) bool {
	heartbeat := o.heartbeat
	if heartbeat == 0 {
		heartbeat = defaultHeartbeat
	}
	return o.failed && now.Sub(o.knownAt) >= lapseHeartbeats*heartbeat
}
