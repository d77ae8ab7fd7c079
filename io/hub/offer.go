package hub

import (
	"time"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/rota"
)

// offer is what this router knows of the store. What the hub lacks goes with it when the hub has asked for it.
func (a *Agent) offer() (o Offer) {
	h := &a.heard
	o = Offer{
		Stamp: h.stamp, Configuration: h.known(a.Configuration), Registry: h.known(a.Registry),
		Failing: a.Configuration.Failing() || a.Registry.Failing(),
	}
	if !h.asked {
		return o
	}
	if o.Configuration.Known && (!h.configuration.Known || o.Configuration.Next > h.configuration.Next) {
		var err error
		o.Given, err = a.packer.pack(a.Record(), notHeld, a.beside())
		if err != nil {
			_ = a.Logger.Log(field.Event, event.ConfigurationUnreadable, field.Err, err)
		}
	}
	if o.Registry.Known && (!h.registry.Known || o.Registry.Next > h.registry.Next) {
		o.Changes, _ = a.Endpoints.Changes().Since(0)
	}
	return o
}

func (h *heard) known(f Followed) Known {
	next, sent, ok := f.Known()
	return Known{Known: ok && h.stamp > 0, Next: next, After: sent - h.at}
}

// takeOffer takes what a router knows that this one does not, and tells whether it knew more, by a newer read.
func (a *Agent) takeOffer(args *Report) (newer bool) {
	if args.Epoch != a.epoch {
		return false
	}
	o := &args.Offer
	took := a.offered(o.Configuration, a.Configuration, o.Stamp, o.Given != nil, func(sent time.Duration) {
		a.unpack(o.Given, o.Configuration.Next, sent)
	})
	tookToo := a.offered(o.Registry, a.Registry, o.Stamp, len(o.Changes) > 0, func(sent time.Duration) {
		a.Endpoints.Feed(o.Changes, true)
		a.Registry.Fed(o.Registry.Next, sent)
	})
	if took == taken || tookToo == taken {
		a.rota.Delivered(args.From.Name, a.Clock())
	}
	return took != old || tookToo != old
}

// unpack takes the configuration that another router has read up to the offset.
func (a *Agent) unpack(p *Packed, next int64, sent time.Duration) {
	records, err := p.records(a.Record())
	if err != nil {
		_ = a.Logger.Log(field.Event, event.ConfigurationUnreadable, field.Offset, p.Offset, field.Err, err)
		return
	}
	a.Configuration.Given(records, next, sent)
}

// offerKind is what became of an offer.
type offerKind int

const (
	// old offers hold nothing newer, lacking ones say of something newer without holding it.
	old offerKind = iota
	lacking
	taken
)

// worthTaking is by how much a read must be newer to be of use: what two routers know of one read differs by the time that
// their messages took.
const worthTaking = 100 * time.Millisecond

func (a *Agent) offered(k Known, f Followed, stamp time.Duration, holds bool, take func(sent time.Duration)) offerKind {
	next, known, ok := f.Known()
	sent := stamp + k.After
	if !k.Known || ok && (k.Next < next || sent < known+worthTaking) {
		return old
	}
	switch {
	case ok && k.Next == next:
		f.Confirm(k.Next, sent)
	case holds:
		take(sent)
	default:
		return lacking
	}
	return taken
}

// starvedAfter is the age of what a hub knows from which on it has others read for it.
const starvedAfter = 900 * time.Millisecond

// standing is how this router stands with the store, as a hub that must read.
func (a *Agent) standing() (h rota.Hub) {
	h.Failing = a.Reads() && (a.Configuration.Failing() || a.Registry.Failing())
	h.Starving = h.Failing && (a.starving(a.Configuration) || a.starving(a.Registry))
	return h
}

func (a *Agent) starving(f Followed) bool {
	_, sent, ok := f.Known()
	return !ok || a.Clock()-sent > starvedAfter
}
