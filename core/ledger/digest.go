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

// The two forms of a digest, told apart by its first byte.
const (
	formDense  = 0
	formSparse = 1
)

// Digest is what this process holds on each endpoint, as varints in the order of the endpoints' names: requests, and
// tokens in units of tokenUnit. It is written for all endpoints, or with gaps for those that are not idle, whichever
// is shorter: in a large region a router has work on few of them. The shape stands for the endpoints.
func (l *Ledger) Digest() (shape uint32, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dense, sparse := []byte{formDense}, []byte{formSparse}
	last := 0
	for i, e := range l.entries {
		requests, tokens := uint64(e.requests), uint64(math.Ceil(e.tokens/tokenUnit))
		dense = appendLoad(dense, requests, tokens)
		if requests == 0 && tokens == 0 {
			continue
		}
		sparse = binary.AppendUvarint(sparse, uint64(i-last))
		sparse = appendLoad(sparse, requests, tokens)
		last = i
	}
	if len(sparse) < len(dense) {
		return l.shape(), sparse
	}
	return l.shape(), dense
}

func appendLoad(data []byte, requests, tokens uint64) []byte {
	data = binary.AppendUvarint(data, requests)
	return binary.AppendUvarint(data, tokens)
}

// tokenUnit makes most counts of tokens fit one or two bytes.
const tokenUnit = 16

// Peer takes the digest of a peer that has the same endpoints in force; one of another shape is dropped, because its
// indexes would mean other endpoints.
func (l *Ledger) Peer(name string, shape uint32, data []byte, at time.Time) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := parseDigest(data, len(l.entries))
	if !ok || shape != l.shape() {
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
	if len(data) == 0 || data[0] > formSparse {
		return nil, false
	}
	d = &peerDigest{requests: make([]float64, n), tokens: make([]float64, n)}
	r := reader{data: data[1:]}
	if data[0] == formDense {
		for i := range n {
			d.read(&r, i)
		}
		return d, !r.broken && len(r.data) == 0
	}
	for at := uint64(0); len(r.data) > 0 && !r.broken; {
		at += r.next()
		if at >= uint64(n) {
			return nil, false
		}
		d.read(&r, int(at))
	}
	return d, !r.broken
}

func (d *peerDigest) read(r *reader, i int) {
	d.requests[i] = float64(r.next())
	d.tokens[i] = float64(r.next()) * tokenUnit
}

// reader takes varints from foreign bytes.
type reader struct {
	data   []byte
	broken bool
}

func (r *reader) next() (v uint64) {
	v, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.broken = true
		return 0
	}
	r.data = r.data[size:]
	return v
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
	l.recount()
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
