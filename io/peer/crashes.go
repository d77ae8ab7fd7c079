package peer

import "time"

// crashCursor is how far this router and a peer have each other's records of crashes.
type crashCursor struct {
	// incarnation is that of the peer: its versions begin again when it starts.
	incarnation uint64
	// seen is the peer's version up to which this router has its records, acknowledged is this router's up to which the peer has them.
	seen, acknowledged int64
}

// addCrashes adds the records that the peer has not acknowledged. The caller holds a.mu.
func (a *Agent) addCrashes(m *GossipMessage, to string, now time.Time) {
	if a.Quarantine == nil {
		return
	}
	c := a.crashCursors[to]
	if c.acknowledged > a.Quarantine.Version() {
		// The peer means the records of this router's process before.
		c.acknowledged = 0
	}
	m.Crashes, m.CrashVersion = a.Quarantine.Since(c.acknowledged, now)
	m.CrashesSeen = c.seen
}

func (a *Agent) receiveCrashes(m *GossipMessage, now time.Time) {
	if a.Quarantine == nil {
		return
	}
	a.Quarantine.Merge(m.Crashes, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.crashCursors[m.Self.Name]
	if c.incarnation != m.Self.Incarnation {
		c = crashCursor{incarnation: m.Self.Incarnation}
	}
	c.seen, c.acknowledged = m.CrashVersion, m.CrashesSeen
	a.crashCursors[m.Self.Name] = c
}

// AnnounceCrashes exchanges state with peers at once, after records of crashes have changed.
func (a *Agent) AnnounceCrashes() { a.triggerExchange() }
