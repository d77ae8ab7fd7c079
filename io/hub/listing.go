package hub

import (
	"context"
	"encoding/json"

	"savoryfall/core/annotate"
	"savoryfall/core/keyed"
	"savoryfall/core/members"
)

// Topic is a keyed topic of the system's own.
type Topic interface {
	Newest(ctx context.Context) (p keyed.Page, err error)
	Put(ctx context.Context, key string, value []byte) (err error)
}

// Listing is the list of routers at the store.
type Listing struct{ topic Topic }

// NewListing keeps the list in the topic.
func NewListing(t Topic) Listing { return Listing{topic: t} }

// Enter puts a router on the list; doing so twice changes nothing.
func (l Listing) Enter(ctx context.Context, m members.Member) (err error) {
	defer annotate.Error(&err, "list router %s", m.Name)
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return l.topic.Put(ctx, m.Name, value)
}

// List reads the list. Records that cannot be read name no router.
func (l Listing) List(ctx context.Context) (all []members.Member, err error) {
	defer annotate.Error(&err, "read the list of routers")
	p, err := l.topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range p.Records {
		var m members.Member
		if json.Unmarshal(r.Value, &m) == nil && m.Address != "" {
			m.Name = r.Key
			all = append(all, m)
		}
	}
	return all, nil
}
