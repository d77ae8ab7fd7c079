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

// Decoder reads a configuration out of a record; ok is false for records that are something else.
type Decoder interface {
	Decode(r keyed.Record) (t *routetable.Table, ok bool, err error)
}

// Keeper holds the newest configuration that was read.
type Keeper struct {
	decoder Decoder
	lease   *freshness.Lease
	logger  log.Logger
	current atomic.Pointer[routetable.Table]
	record  atomic.Pointer[keyed.Record]
	changed func(t *routetable.Table)
}

// New makes a keeper that renews the lease with each read and calls changed with each newer configuration.
func New(d Decoder, l *freshness.Lease, changed func(t *routetable.Table), logger log.Logger) *Keeper {
	return &Keeper{decoder: d, lease: l, changed: changed, logger: logger}
}

// Current is the configuration in force, nil before the first.
func (k *Keeper) Current() *routetable.Table { return k.current.Load() }

// Record is the one that the configuration in force was read from, nil before the first.
func (k *Keeper) Record() *keyed.Record { return k.record.Load() }

// Replace takes the newest records.
func (k *Keeper) Replace(records []keyed.Record) { k.Apply(records) }

// Apply takes the newest configuration among the records. It only goes forward: a read that was overtaken by another
// must not bring back a withdrawn key.
func (k *Keeper) Apply(records []keyed.Record) {
	for _, r := range records {
		t, ok, err := k.decoder.Decode(r)
		if err != nil {
			_ = k.logger.Log(field.Event, event.ConfigurationUnreadable, field.Offset, r.Offset, field.Err, err)
			continue
		}
		if ok {
			k.take(t, r)
		}
	}
}

func (k *Keeper) take(t *routetable.Table, r keyed.Record) {
	old := k.current.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	k.current.Store(t)
	k.record.Store(&r)
	k.changed(t)
	from := int64(0)
	if old != nil {
		from = old.Version()
	}
	_ = k.logger.Log(field.Event, event.ConfigurationInForce, field.Version, t.Version(), field.From, from, field.Offset, r.Offset, field.Routes, t.Routes(),
		field.IdleMs, t.Limits().IdleTimeout.Milliseconds(), field.HeaderMs, t.Limits().HeaderTimeout.Milliseconds())
}

// Read renews the lease. Before the first configuration there is nothing to serve by.
func (k *Keeper) Read(sent time.Duration) {
	if k.current.Load() != nil {
		k.lease.Renew(sent)
	}
}

// Failed changes nothing: the lease runs out by itself.
func (k *Keeper) Failed(error) {}
