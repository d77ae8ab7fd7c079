package hub

import (
	"context"
	"encoding/json"

	"savoryfall/core/annotate"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
)

// Topic is a keyed topic of the store.
type Topic interface {
	Newest(ctx context.Context) (p keyed.Page, err error)
	Put(ctx context.Context, key string, value []byte) (err error)
}

// Listing is the list of routers in the store.
type Listing struct{ topic Topic }

// NewListing returns the list that is kept in the topic.
func NewListing(t Topic) Listing { return Listing{topic: t} }

// Add adds a router to the list. It is idempotent.
func (l Listing) Add(ctx context.Context, m members.Member) (err error) {
	defer annotate.Error(&err, "add router %s to the router list", m.Name)
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return l.topic.Put(ctx, m.Name, value)
}

// All returns the routers on the list. Records that cannot be decoded are skipped.
func (l Listing) All(ctx context.Context) (routers []members.Member, err error) {
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
