package hub

import (
	"math/rand/v2"
	"time"

	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/members"
	"savoryfall/core/readrotation"
)

// buildOffer returns what this router has read from the store. It includes the data that the hub lacks if the hub has
// asked for it.
func (a *Agent) buildOffer() (o Offer) {
	state := &a.hubState
	o = Offer{
		Stamp: state.replyStamp, Configuration: state.offered(a.Configuration), Registry: state.offered(a.Registry),
		Failing: a.failedToRead(),
	}
	if !state.askedToRead {
		return o
	}
	if o.Configuration.Known && (!state.configuration.Known || state.configuration.end().Before(o.Configuration.end())) {
		var err error
		o.Given, err = a.compressionCache.compress(a.CurrentRecord(), noRecord, a.otherRecords())
		if err != nil {
			_ = a.Logger.Log(field.Event, event.ConfigurationUnreadable, field.Err, err)
		}
	}
	if o.Registry.Known && (!state.registry.Known || state.registry.end().Before(o.Registry.end())) {
		o.Changes, _ = a.Endpoints.Changes().Since(0)
	}
	return o
}

// failedToRead reports whether this router's reads have failed since it was asked to read. What failed before says nothing of
// whether the store serves it now.
func (a *Agent) failedToRead() bool {
	a.mu.Lock()
	readsStore, since := a.readsStore, a.readsSince
	a.mu.Unlock()
	return readsStore && (a.Configuration.FailedSince(since) || a.Registry.FailedSince(since))
}

func (h *hubState) offered(f TopicReader) Known {
	end, sent, ok := f.Position()
	return Known{Known: ok && h.replyStamp > 0, Next: end.Offset, Generation: end.Generation, After: sent - h.receivedAt}
}

// applyOffer takes over what the reporting router has read and this one has not. It reports whether that router had a newer
// read, and whether the report lacks the data that was read.
func (a *Agent) applyOffer(args *Report) (newer, incomplete bool) {
	if args.Epoch != a.epoch {
		return false, false
	}
	o := &args.Offer
	configurationResult := a.applyOfferedTopic(o.Configuration, a.Configuration, o.Stamp, o.Given != nil, func(sent time.Duration) {
		a.applyCompressed(o.Given, o.Configuration.end(), sent)
	})
	registryResult := a.applyOfferedTopic(o.Registry, a.Registry, o.Stamp, len(o.Changes) > 0, func(sent time.Duration) {
		a.Endpoints.ApplyChanges(o.Changes, true)
		a.Registry.AdvanceTo(o.Registry.end(), sent)
	})
	if configurationResult == offerApplied || registryResult == offerApplied {
		a.readers.Delivered(args.From.Name, a.Clock())
	}
	newer = configurationResult != offerStale || registryResult != offerStale
	return newer, configurationResult == offerIncomplete || registryResult == offerIncomplete
}

// applyCompressed takes over the configuration that another router has read up to the position.
func (a *Agent) applyCompressed(p *CompressedConfiguration, end compactedlog.Position, sent time.Duration) {
	records, err := p.records(a.CurrentRecord())
	if err != nil {
		_ = a.Logger.Log(field.Event, event.ConfigurationUnreadable, field.Offset, p.Offset, field.Err, err)
		return
	}
	a.Configuration.ApplySnapshot(records, end, sent)
}

// offerResult is the outcome of applying an offer.
type offerResult int

const (
	// offerStale means that the offer has no newer read, offerIncomplete that it has one but lacks the data.
	offerStale offerResult = iota
	offerIncomplete
	offerApplied
)

// minFreshnessGain is by how much a read must be newer to be worth taking over. Two routers that know of the same
// read differ by the delay of their messages.
const minFreshnessGain = 100 * time.Millisecond

func (a *Agent) applyOfferedTopic(position Known, f TopicReader, stamp time.Duration, hasData bool, apply func(sent time.Duration)) offerResult {
	end, knownSent, ok := f.Position()
	sent := stamp + position.After
	if !position.Known || ok && (position.end().Before(end) || sent < knownSent+minFreshnessGain) {
		return offerStale
	}
	switch {
	case ok && position.end() == end:
		f.ConfirmEnd(end, sent)
	case hasData:
		apply(sent)
	default:
		return offerIncomplete
	}
	return offerApplied
}

const (
	// maxUnassistedFleet is the largest fleet of which all routers read the store by themselves when the reads of their hub are old.
	// Whichever routers the store turns away, each of the others is then up to date.
	maxUnassistedFleet = 100
	// unassistedReaders is how many routers of a larger fleet do: so many that one of them is served if the store turns away two in
	// five, drawn at random.
	unassistedReaders = 16
	// maxEagerFleet is the largest fleet whose routers repeat such a read early after a failure: first after minUnassistedInterval, and
	// then after twice as long each time. A second read is still sent within two seconds of the last news.
	maxEagerFleet         = 16
	minUnassistedInterval = 300 * time.Millisecond
	// The time between two such reads of a router in an outage of the store grows with the fleet, from unassistedInterval.
	unassistedInterval     = time.Second
	unassistedIntervalEach = 36 * time.Millisecond
	sampledIntervalEach    = 50 * time.Millisecond
)

// UnassistedInterval returns the time between two reads that the router makes by itself while its hub's are old, after a number of
// failures, or 0 if it makes none. It varies by a quarter, since all begin at the same time: routers that read at
// the same instants would all miss the return of the store for as long.
func UnassistedInterval(routers *members.List, name string, failures int) (interval time.Duration) {
	n := routers.Len()
	switch {
	case n <= maxEagerFleet:
		interval = min(minUnassistedInterval<<min(max(failures-1, 0), 8), unassistedInterval)
	case n <= maxUnassistedFleet:
		interval = max(unassistedInterval, time.Duration(n)*unassistedIntervalEach)
	case routers.InSample(name, unassistedReaders):
		interval = time.Duration(n) * sampledIntervalEach
	default:
		return 0
	}
	return interval*3/4 + rand.N(interval/2)
}

// outdatedAge is the age of a hub's data above which the hub asks other routers to read the store for it.
const outdatedAge = 900 * time.Millisecond

// storeAccess returns how well this router, as a hub that must read the store, can do so.
func (a *Agent) storeAccess() (access readrotation.Hub) {
	access.Failing = a.ReadsStore() && (a.Configuration.Failing() || a.Registry.Failing())
	access.Stale = access.Failing && (a.outdated(a.Configuration) || a.outdated(a.Registry))
	return access
}

func (a *Agent) outdated(f TopicReader) bool {
	_, sent, ok := f.Position()
	return !ok || a.Clock()-sent > outdatedAge
}
