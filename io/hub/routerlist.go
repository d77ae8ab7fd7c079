package hub

import (
	"context"
	"encoding/json"

	"savoryfall/core/annotate"
	"savoryfall/core/compactedlog"
	"savoryfall/core/members"
)

// Topic is a compacted topic of the store.
type Topic interface {
	Newest(ctx context.Context) (p compactedlog.Page, err error)
	Put(ctx context.Context, key string, value []byte) (err error)
	// Generation returns the highest generation of the log that any answer of the store has shown to this router, 0 if
	// none has.
	Generation() int64
}

// RouterList is the list of routers in the store.
type RouterList struct{ topic Topic }

// NewRouterList returns the list that is kept in the topic.
func NewRouterList(t Topic) RouterList { return RouterList{topic: t} }

// Generation returns the highest generation of the store that this router has seen, 0 for a list without a topic.
func (l RouterList) Generation() int64 {
	if l.topic == nil {
		return 0
	}
	return l.topic.Generation()
}

// Add adds a router to the list. It is idempotent.
func (l RouterList) Add(ctx context.Context, m members.Member) (err error) {
	defer annotate.Error(&err, "add router %s to the router list", m.Name)
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return l.topic.Put(ctx, m.Name, value)
}

// All returns the routers on the list. Records that cannot be decoded are skipped.
func (l RouterList) All(ctx context.Context) (routers []members.Member, err error) {
	defer annotate.Error(&err, "read the list of routers")
	p, err := l.topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range p.Records {
		var m members.Member
		if json.Unmarshal(r.Value, &m) == nil && m.Address != "" {
			m.Name = r.Key
			routers = append(routers, m)
		}
	}
	return routers, nil
}

// Unrecording reports whether a router that records no versions may have written its entry at the offset or later, and returns
// where the list ends. A later entry of the same router hides an earlier one, but not that there were two.
func (l RouterList) Unrecording(ctx context.Context, since int64) (may bool, end int64, err error) {
	defer annotate.Error(&err, "read the list of routers")
	p, err := l.topic.Newest(ctx)
	if err != nil {
		return false, 0, err
	}
	seen := int64(0)
	for _, r := range p.Records {
		if r.Offset < since {
			continue
		}
		seen++
		var m members.Member
		may = may || json.Unmarshal(r.Value, &m) != nil || !m.RecordsVersions
	}
	return may || p.LogEnd-since > seen, p.LogEnd, nil
}
