package originbatch_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/origin"
	"savoryfall/core/originbatch"
)

// records returns n records of streams at ten endpoints of two versions.
func records(n int) (list []originbatch.Record) {
	for i := range n {
		list = append(list, originbatch.Record{Key: uint64(i) * 0x9e3779b97f4a7c15, Origin: origin.Origin{
			Service: "cellar-models", Version: fmt.Sprint("v1.", i%2), Endpoint: fmt.Sprint("i-4ab432c32d", i%10), Born: 1_768_593_635_022 + int64(i%10),
			SentAt: 1_768_593_700_000 + int64(8*i),
		}})
	}
	return list
}

func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	for _, n := range []int{1, 2, 11, originbatch.MaxRecords} {
		data, encoded := originbatch.Encode(records(n))
		assert.Equal(t, encoded, n)
		decoded, err := originbatch.Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, records(n))
		t.Logf("%d records take %d bytes", n, len(data))
	}
}

// A stream may begin at an endpoint whose version and start are unknown; clocks may go back.
func TestDecodeReturnsUnusualRecords(t *testing.T) {
	list := records(3)
	list[0].Origin.Version, list[1].Origin.Born, list[2].Origin.SentAt = "", 0, -5
	data, n := originbatch.Encode(list)
	assert.Equal(t, n, len(list))
	decoded, err := originbatch.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, list)
}

func TestBatchIsBounded(t *testing.T) {
	_, n := originbatch.Encode(records(3 * originbatch.MaxRecords))
	assert.Equal(t, n, originbatch.MaxRecords)
	var list []originbatch.Record
	for i := range 500 {
		list = append(list, originbatch.Record{Origin: origin.Origin{Service: strings.Repeat("s", 255), Endpoint: fmt.Sprintf("%0255d", i)}})
	}
	data, n := originbatch.Encode(list)
	assert.Assert(t, n > 0 && n < len(list) && len(data) <= originbatch.MaxBytes, "%d records, %d bytes", n, len(data))
	data, n = originbatch.Encode(nil)
	assert.Assert(t, data == nil && n == 0)
}

func TestRecordWithoutEndpointIsNotValid(t *testing.T) {
	for _, o := range []origin.Origin{
		{}, {Service: "s"}, {Endpoint: "e"}, {Service: strings.Repeat("s", 256), Endpoint: "e"}, {Service: "s", Endpoint: "e", Version: strings.Repeat("v", 256)},
	} {
		r := originbatch.Record{Origin: o}
		assert.Assert(t, !r.Valid(), "%v", o)
	}
}

// withChecksum returns the bytes with a checksum that fits.
func withChecksum(body []byte) []byte {
	return binary.BigEndian.AppendUint32(body[:len(body):len(body)], crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
}

// Guards against a damaged batch that names another version for a stream.
func TestDamagedBatchIsAnError(t *testing.T) {
	data, _ := originbatch.Encode(records(20))
	for i := range data {
		for bit := range 8 {
			damaged := append([]byte(nil), data...)
			damaged[i] ^= 1 << bit
			_, err := originbatch.Decode(damaged)
			assert.Assert(t, err != nil, "bit %d of byte %d", bit, i)
		}
	}
	for n := range data {
		_, err := originbatch.Decode(data[:n])
		assert.Assert(t, err != nil, "the first %d bytes", n)
	}
}

// Guards against foreign values that exhaust the memory or are taken for batches.
func TestForeignValueIsAnError(t *testing.T) {
	data, _ := originbatch.Encode(records(2))
	body := data[:len(data)-4]
	for name, value := range map[string][]byte{
		"empty":             nil,
		"text":              []byte(`{"version":1}`),
		"another format":    withChecksum(append([]byte{2}, body[1:]...)),
		"truncated":         withChecksum(body[:len(body)-1]),
		"followed by bytes": withChecksum(append(body[:len(body):len(body)], 0)),
		"many endpoints":    withChecksum(binary.AppendUvarint([]byte{1}, 1<<60)),
		"many records":      withChecksum(binary.AppendUvarint([]byte{1, 0, 0}, 1<<60)),
		"long text":         withChecksum(append([]byte{1, 1}, binary.AppendUvarint(nil, 1<<40)...)),
		"no such endpoint":  withChecksum(append([]byte{1, 0, 0, 1}, make([]byte, 10)...)),
		"no service":        withChecksum(append([]byte{1, 1, 0, 0, 0, 0, 0, 1}, make([]byte, 10)...)),
	} {
		_, err := originbatch.Decode(value)
		assert.Assert(t, err != nil, name)
	}
}

func FuzzDecode(f *testing.F) {
	data, _ := originbatch.Encode(records(5))
	f.Add(data[:len(data)-4])
	f.Add([]byte{1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := originbatch.Decode(withChecksum(body))
		if err != nil || len(list) > originbatch.MaxRecords {
			return
		}
		again, n := originbatch.Encode(list)
		if n < len(list) {
			return
		}
		decoded, err := originbatch.Decode(again)
		assert.NilError(t, err)
		assert.Assert(t, len(list) == 0 || fmt.Sprint(decoded) == fmt.Sprint(list))
	})
}
