package desired

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/event"
	"savoryfall/core/field"
	"savoryfall/core/freshness"
	"savoryfall/core/keyed"
	"savoryfall/core/routetable"
)

// Decoder decodes a configuration from a record; ok is false for records of another kind.
type Decoder interface {
	Decode(r keyed.Record) (t *routetable.Table, ok bool, err error)
}

// Keeper holds the newest configuration that has been read.
type Keeper struct {
	decoder       Decoder
	lease         *freshness.Lease
	logger        log.Logger
	current       atomic.Pointer[routetable.Table]
	currentRecord atomic.Pointer[keyed.Record]
	onChange      func(t *routetable.Table)
}

// New returns a keeper that renews the lease with each read and calls onChange with each newer configuration.
func New(d Decoder, l *freshness.Lease, onChange func(t *routetable.Table), logger log.Logger) *Keeper {
	return &Keeper{decoder: d, lease: l, onChange: onChange, logger: logger}
}

// Current returns the configuration in force, or nil before the first one.
func (k *Keeper) Current() *routetable.Table { return k.current.Load() }

// Record returns the record of the configuration in force, or nil before the first one.
func (k *Keeper) Record() *keyed.Record { return k.currentRecord.Load() }

// Replace applies the newest record of every key.
func (k *Keeper) Replace(records []keyed.Record) { k.Apply(records) }

// Apply puts the newest configuration among the records in force. Older versions are ignored: a read that was
// overtaken by another one must not restore a withdrawn key.
func (k *Keeper) Apply(records []keyed.Record) {
	for _, r := range records {
		t, ok, err := k.decoder.Decode(r)
		if err != nil {
			_ = k.logger.Log(field.Event, event.ConfigurationUnreadable, field.Offset, r.Offset, field.Err, err)
			continue
		}
		if ok {
			k.activate(t, r)
		}
	}
}

func (k *Keeper) activate(t *routetable.Table, r keyed.Record) {
	old := k.current.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	k.current.Store(t)
	k.currentRecord.Store(&r)
	k.onChange(t)
	from := int64(0)
	if old != nil {
		from = old.Version()
	}
	_ = k.logger.Log(field.Event, event.ConfigurationInForce, field.Version, t.Version(), field.From, from, field.Offset, r.Offset, field.Routes, t.Routes(),
		field.IdleMs, t.Limits().IdleTimeout.Milliseconds(), field.HeaderMs, t.Limits().HeaderTimeout.Milliseconds())
}

// Read renews the lease. Before the first configuration there is nothing to serve requests with, so the lease is
// not renewed.
func (k *Keeper) Read(sent time.Duration) {
	if k.current.Load() != nil {
		k.lease.Renew(sent)
	}
}

// Failed does nothing: without successful reads the lease expires.
func (k *Keeper) Failed(error) {}
