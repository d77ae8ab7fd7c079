package originbatch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"savoryfall/core/origin"
)

// Record is where one stream began.
type Record struct {
	// Key identifies the stream, see origin.Key.
	Key    uint64
	Origin origin.Origin
}

const (
	// formatVersion is the first byte of a batch.
	formatVersion = 1
	// MaxRecords limits the records of a batch.
	MaxRecords = 2000
	// MaxBytes limits its size.
	MaxBytes = 64 << 10
	// maxText is the maximum length in bytes of a name or a version.
	maxText      = 255
	keySize      = 8
	checksumSize = 4
	// minRecordSize and minEndpointSize are the least that one takes in bytes: they bound what is reserved for a stated number.
	minRecordSize   = keySize + 2
	minEndpointSize = 4
	// maxRecordSize and endpointOverhead are the most that numbers take in bytes.
	maxRecordSize    = keySize + 2*binary.MaxVarintLen64
	endpointOverhead = 4 * binary.MaxVarintLen64
	// headerSize is the most that the fields besides endpoints and records take in bytes.
	headerSize = 1 + 3*binary.MaxVarintLen64 + checksumSize
)

// The errors of a value that is not a batch.
var (
	errFormat    = errors.New("unknown format of a batch of origins")
	errChecksum  = errors.New("the checksum of a batch of origins differs")
	errTruncated = errors.New("a batch of origins is truncated")
	errEmpty     = errors.New("a batch of origins has no record")
	errTrailing  = errors.New("a batch of origins is followed by other bytes")
	errText      = errors.New("a name in a batch of origins is too long")
	errEndpoint  = errors.New("a record names an endpoint that its batch lacks")
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Valid reports whether the record can be encoded.
func (r *Record) Valid() bool {
	o := &r.Origin
	return o.Service != "" && o.Endpoint != "" && max(len(o.Service), len(o.Version), len(o.Endpoint)) <= maxText
}

// Encode returns a batch of the first records, and how many it has: as many as the limits allow. All must be valid.
func Encode(records []Record) (data []byte, n int) {
	type endpoint struct {
		service, version, id string
		born                 int64
	}
	numbers := map[endpoint]uint64{}
	var endpoints, rest []byte
	for _, r := range records[:min(len(records), MaxRecords)] {
		o := &r.Origin
		e := endpoint{o.Service, o.Version, o.Endpoint, o.Born}
		size := headerSize + len(endpoints) + len(rest) + maxRecordSize
		if _, known := numbers[e]; !known {
			size += endpointOverhead + len(e.service) + len(e.version) + len(e.id)
		}
		if size > MaxBytes {
			break
		}
		number, known := numbers[e]
		if !known {
			number = uint64(len(numbers))
			numbers[e] = number
			for _, text := range []string{e.service, e.version, e.id} {
				endpoints = binary.AppendUvarint(endpoints, uint64(len(text)))
				endpoints = append(endpoints, text...)
			}
			endpoints = binary.AppendVarint(endpoints, e.born)
		}
		rest = binary.BigEndian.AppendUint64(rest, r.Key)
		rest = binary.AppendUvarint(rest, number)
		rest = binary.AppendVarint(rest, o.SentAt-records[0].Origin.SentAt)
		n++
	}
	if n == 0 {
		return nil, 0
	}
	data = binary.AppendUvarint([]byte{formatVersion}, uint64(len(numbers)))
	data = append(data, endpoints...)
	data = binary.AppendVarint(data, records[0].Origin.SentAt)
	data = binary.AppendUvarint(data, uint64(n))
	data = append(data, rest...)
	return binary.BigEndian.AppendUint32(data, crc32.Checksum(data, checksums)), n
}

// Decode returns the records of a batch. Any value that Encode does not write is an error.
func Decode(data []byte) (records []Record, err error) {
	if len(data) < 1+checksumSize || data[0] != formatVersion {
		return nil, errFormat
	}
	body, sum := data[:len(data)-checksumSize], data[len(data)-checksumSize:]
	if crc32.Checksum(body, checksums) != binary.BigEndian.Uint32(sum) {
		return nil, errChecksum
	}
	d := decoder{rest: body[1:]}
	endpoints := make([]origin.Origin, d.count(minEndpointSize))
	for i := range endpoints {
		endpoints[i] = origin.Origin{Service: d.text(), Version: d.text(), Endpoint: d.text(), Born: d.signed()}
	}
	sentAt := d.signed()
	records = make([]Record, d.count(minRecordSize))
	for i := range records {
		records[i] = d.record(endpoints, sentAt)
	}
	if len(records) == 0 {
		d.fail(errEmpty)
	}
	if d.err == nil && len(d.rest) > 0 {
		d.err = errTrailing
	}
	if d.err != nil {
		return nil, fmt.Errorf("after %d bytes: %w", len(body)-len(d.rest), d.err)
	}
	return records, nil
}

// decoder reads the fields of a batch. After an error, all fields are zero.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *decoder) unsigned() (v uint64) {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || d.err != nil {
		d.fail(errTruncated)
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) signed() (v int64) {
	v, n := binary.Varint(d.rest)
	if n <= 0 || d.err != nil {
		d.fail(errTruncated)
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// count returns a number of items of which each takes at least size bytes.
func (d *decoder) count(size int) (n int) {
	v := d.unsigned()
	if v > uint64(len(d.rest)/size) {
		d.fail(errTruncated)
		return 0
	}
	return int(v)
}

func (d *decoder) text() (s string) {
	n := d.unsigned()
	switch {
	case n > maxText:
		d.fail(errText)
	case n > uint64(len(d.rest)):
		d.fail(errTruncated)
	}
	if d.err != nil {
		return ""
	}
	s, d.rest = string(d.rest[:n]), d.rest[n:]
	return s
}

func (d *decoder) record(endpoints []origin.Origin, sentAt int64) (r Record) {
	if len(d.rest) < keySize {
		d.fail(errTruncated)
		return Record{}
	}
	r.Key, d.rest = binary.BigEndian.Uint64(d.rest), d.rest[keySize:]
	number, delta := d.unsigned(), d.signed()
	if number >= uint64(len(endpoints)) {
		d.fail(errEndpoint)
		return Record{}
	}
	r.Origin = endpoints[number]
	r.Origin.SentAt = sentAt + delta
	if !r.Valid() {
		d.fail(errEndpoint)
	}
	return r
}
