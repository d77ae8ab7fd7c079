package hub

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"savoryfall/core/keyed"
)

// Packed is what holds of the configuration's topic as it is sent: a configuration of some thousand routes is mostly the
// same words.
type Packed struct {
	Key    string
	Offset int64
	// Data is empty where the receiver holds the record of that offset.
	Data []byte
	// Beside are the other records that are in force.
	Beside []keyed.Record
}

// mostUnpacked bounds in bytes what a router takes for a configuration.
const mostUnpacked = 32 << 20

var (
	errUnpacked = errors.New("the configuration is too large")
	// errHeld says that this router holds another configuration than the one that it was told to keep.
	errHeld = errors.New("the configuration to keep is not held")
)

func pack(r *keyed.Record) (p *Packed, err error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	_, err = w.Write(r.Value)
	if err != nil {
		return nil, err
	}
	err = w.Close()
	return &Packed{Key: r.Key, Offset: r.Offset, Data: b.Bytes()}, err
}

// records are all that are in force; held is the configuration's that the receiver has.
func (p *Packed) records(held *keyed.Record) (records []keyed.Record, err error) {
	if len(p.Data) == 0 {
		if held == nil || held.Offset != p.Offset {
			return nil, errHeld
		}
		return append([]keyed.Record{*held}, p.Beside...), nil
	}
	r, err := p.record()
	if err != nil {
		return nil, err
	}
	return append([]keyed.Record{r}, p.Beside...), nil
}

func (p *Packed) record() (r keyed.Record, err error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), mostUnpacked+1))
	if err != nil {
		return r, err
	}
	if len(value) > mostUnpacked {
		return r, errUnpacked
	}
	return keyed.Record{Key: p.Key, Offset: p.Offset, Value: value}, nil
}

// packer packs a record once for all who are given it; the zero value has packed nothing.
type packer struct {
	mu   sync.Mutex
	of   *keyed.Record
	last *Packed
}

// pack is the record with those beside it; held is the offset of the one that the receiver has.
func (p *packer) pack(r *keyed.Record, held int64, beside []keyed.Record) (packed *Packed, err error) {
	if r == nil {
		return nil, nil
	}
	if r.Offset == held {
		return &Packed{Key: r.Key, Offset: r.Offset, Beside: beside}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of != r {
		p.last, err = pack(r)
		if err != nil {
			return nil, err
		}
		p.of = r
	}
	whole := *p.last
	whole.Beside = beside
	return &whole, nil
}
