package ledger

import (
	"encoding/binary"
	"math"
	"time"
)

// peerDigest is what one peer last said of its own requests, by the index of the endpoint.
type peerDigest struct {
	at       time.Time
	requests []float64
	tokens   []float64
}

// Digest is what this process holds on each endpoint, as two varints an endpoint in the order of their names:
// requests, and tokens in units of tokenUnit. An idle endpoint costs two bytes. The shape stands for the endpoints.
func (l *Ledger) Digest() (shape uint32, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shape = l.shape
	for _, e := range l.entries {
		data = binary.AppendUvarint(data, uint64(e.requests))
		data = binary.AppendUvarint(data, uint64(math.Ceil(e.tokens/tokenUnit)))
	}
	return shape, data
}

// tokenUnit makes most counts of tokens fit one or two bytes.
const tokenUnit = 16

// Peer takes the digest of a peer that has the same endpoints in force; one of another shape is dropped, because its
// indexes would mean other endpoints.
func (l *Ledger) Peer(name string, shape uint32, data []byte, at time.Time) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := parseDigest(data, len(l.entries))
	if !ok || shape != l.shape {
		return false
	}
	d.at = at
	l.subtract(l.peers[name])
	if l.peers == nil {
		l.peers = map[string]*peerDigest{}
	}
	l.peers[name] = d
	l.add(d, 1)
	return true
}

func parseDigest(data []byte, n int) (d *peerDigest, ok bool) {
	d = &peerDigest{}
	for range n {
		requests, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, false
		}
		data = data[size:]
		tokens, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, false
		}
		data = data[size:]
		d.requests = append(d.requests, float64(requests))
		d.tokens = append(d.tokens, float64(tokens)*tokenUnit)
	}
	return d, len(data) == 0
}

func (l *Ledger) subtract(d *peerDigest) {
	if d != nil {
		l.add(d, -1)
	}
}

func (l *Ledger) add(d *peerDigest, sign float64) {
	for i, e := range l.entries {
		e.peerRequest = max(e.peerRequest+sign*d.requests[i], 0)
		e.peerTokens = max(e.peerTokens+sign*d.tokens[i], 0)
		l.refresh(int32(i))
	}
}

// Expire drops the digests of peers that have been silent too long.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, d := range l.peers {
		if now.Sub(d.at) > digestLife {
			l.subtract(d)
			delete(l.peers, name)
		}
	}
	for i := range l.entries {
		l.refresh(int32(i))
	}
}

// Forget drops the digest of a peer that is known to be gone.
func (l *Ledger) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.peers[name]; d != nil {
		l.subtract(d)
		delete(l.peers, name)
	}
}

// dropDigests is for a change of the endpoints: the indexes in older digests mean other endpoints from now on.
func (l *Ledger) dropDigests() {
	l.peers = nil
	for i, e := range l.entries {
		e.peerRequest, e.peerTokens = 0, 0
		l.refresh(int32(i))
	}
}
