package hub

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"savoryfall/core/keyed"
)

// Packed is a record as it is sent: a configuration of some thousand routes is mostly the same words.
type Packed struct {
	Key    string
	Offset int64
	Data   []byte
}

// mostUnpacked bounds in bytes what a router takes for a configuration.
const mostUnpacked = 32 << 20

var errUnpacked = errors.New("the configuration is too large")

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

func (p *packer) pack(r *keyed.Record) (packed *Packed, err error) {
	if r == nil {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of == r {
		return p.last, nil
	}
	p.last, err = pack(r)
	if err != nil {
		return nil, err
	}
	p.of = r
	return p.last, nil
}
