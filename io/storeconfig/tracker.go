package storeconfig

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/compactedlog"
	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/freshness"
	"savoryfall/core/routetable"
)

// Decoder decodes a configuration from a record; ok is false for records of another kind.
type Decoder interface {
	Decode(r compactedlog.Record) (t *routetable.Table, ok bool, err error)
}

// Tracker holds the newest configuration that has been read.
type Tracker struct {
	decoder       Decoder
	lease         *freshness.Lease
	logger        log.Logger
	current       atomic.Pointer[routetable.Table]
	currentRecord atomic.Pointer[compactedlog.Record]
	onChange      func(t *routetable.Table)
}

// New returns a tracker that renews the lease with each read and calls onChange with each newer configuration.
func New(d Decoder, l *freshness.Lease, onChange func(t *routetable.Table), logger log.Logger) *Tracker {
	return &Tracker{decoder: d, lease: l, onChange: onChange, logger: logger}
}

// Current returns the configuration in force, or nil before the first one.
func (tr *Tracker) Current() *routetable.Table { return tr.current.Load() }

// Record returns the record of the configuration in force, or nil before the first one.
func (tr *Tracker) Record() *compactedlog.Record { return tr.currentRecord.Load() }

// Replace applies the newest record of every key.
func (tr *Tracker) Replace(records []compactedlog.Record) { tr.Apply(records) }

// Apply puts into force the newest configuration that the records contain. A version older than the current one is
// ignored: a read that finishes after a later one must not restore a withdrawn key.
func (tr *Tracker) Apply(records []compactedlog.Record) {
	for _, r := range records {
		t, ok, err := tr.decoder.Decode(r)
		if err != nil {
			_ = tr.logger.Log(field.Event, event.ConfigurationUnreadable, field.Offset, r.Offset, field.Err, err)
			continue
		}
		if ok {
			tr.activate(t, r)
		}
	}
}

func (tr *Tracker) activate(t *routetable.Table, r compactedlog.Record) {
	old := tr.current.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	tr.current.Store(t)
	tr.currentRecord.Store(&r)
	tr.onChange(t)
	from := int64(0)
	if old != nil {
		from = old.Version()
	}
	_ = tr.logger.Log(field.Event, event.ConfigurationInForce, field.Version, t.Version(), field.From, from, field.Offset, r.Offset,
		field.Routes, t.RouteCount(), field.IdleMs, t.Limits().IdleTimeout.Milliseconds(), field.HeaderMs, t.Limits().HeaderTimeout.Milliseconds())
}

// Read renews the lease. Before the first configuration there is nothing to serve requests with, so the lease is
// not renewed.
func (tr *Tracker) Read(sent time.Duration) {
	if tr.current.Load() != nil {
		tr.lease.Renew(sent)
	}
}

// Failed does nothing: without successful reads the lease expires.
func (tr *Tracker) Failed(error) {}

// Restored does nothing: an older configuration than the one in force is never activated.
func (tr *Tracker) Restored() {}
