package hub

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"savoryfall/core/compactedlog"
)

// CompressedConfiguration is the wire format of the configuration topic's records in force. A configuration of
// thousands of routes compresses well, since its text repeats.
type CompressedConfiguration struct {
	Key    string
	Offset int64
	// Data is empty if the receiver holds the record of that position.
	Data []byte
	// Beside are the other records in force.
	Beside []compactedlog.Record
	// Generation is the generation of the log that Offset belongs to.
	Generation int64
}

func (p *CompressedConfiguration) position() compactedlog.Position {
	return compactedlog.Position{Generation: p.Generation, Offset: p.Offset}
}

// maxConfigurationBytes limits the size of a decompressed configuration.
const maxConfigurationBytes = 32 << 20

var (
	errConfigurationTooLarge = errors.New("the configuration exceeds the maximum size")
	// errRecordNotHeld means that the sender left the data out but this router holds another configuration.
	errRecordNotHeld = errors.New("the configuration record that the sender left out is not held here")
)

func compress(r *compactedlog.Record) (p *CompressedConfiguration, err error) {
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
	return &CompressedConfiguration{Key: r.Key, Offset: r.Offset, Generation: r.Generation, Data: b.Bytes()}, err
}

// records returns all records in force. held is the configuration record that the receiver has.
func (p *CompressedConfiguration) records(held *compactedlog.Record) (records []compactedlog.Record, err error) {
	if len(p.Data) == 0 {
		if held == nil || held.Position() != p.position() {
			return nil, errRecordNotHeld
		}
		return append([]compactedlog.Record{*held}, p.Beside...), nil
	}
	r, err := p.record()
	if err != nil {
		return nil, err
	}
	return append([]compactedlog.Record{r}, p.Beside...), nil
}

func (p *CompressedConfiguration) record() (r compactedlog.Record, err error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxConfigurationBytes+1))
	if err != nil {
		return r, err
	}
	if len(value) > maxConfigurationBytes {
		return r, errConfigurationTooLarge
	}
	return compactedlog.Record{Key: p.Key, Offset: p.Offset, Generation: p.Generation, Value: value}, nil
}

// compressionCache keeps the last compressed record, so that it is compressed once for all receivers. The zero value
// is empty.
type compressionCache struct {
	mu         sync.Mutex
	source     *compactedlog.Record
	compressed *CompressedConfiguration
}

// compress returns the record in compressed form together with the others, and without its data if it is the one at
// held, which the receiver holds.
func (cache *compressionCache) compress(r *compactedlog.Record, held compactedlog.Position, others []compactedlog.Record) (c *CompressedConfiguration, err error) {
	if r == nil {
		return nil, nil
	}
	if r.Position() == held {
		return &CompressedConfiguration{Key: r.Key, Offset: r.Offset, Generation: r.Generation, Beside: others}, nil
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.source != r {
		cache.compressed, err = compress(r)
		if err != nil {
			return nil, err
		}
		cache.source = r
	}
	withOthers := *cache.compressed
	withOthers.Beside = others
	return &withOthers, nil
}
