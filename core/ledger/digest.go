package ledger

import (
	"encoding/binary"
	"math"
	"time"
)

// peerLoad is the latest load digest of one peer, covering only the peer's own requests, by endpoint index.
type peerLoad struct {
	at       time.Time
	requests []float64
	tokens   []float64
}

// The two digest formats; the first byte of a digest tells them apart.
const (
	formatDense  = 0
	formatSparse = 1
)

// Digest encodes this router's own load on each endpoint as varints in the order of the endpoint names: requests, and
// tokens in units of tokenUnit. It uses the shorter of two formats: dense, with all endpoints, or sparse, with index
// gaps and non-idle endpoints only. In a large region a router has requests on few endpoints. The fingerprint
// identifies the list of endpoints; messages carry it as Shape.
func (l *Ledger) Digest() (fingerprint uint32, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dense, sparse := []byte{formatDense}, []byte{formatSparse}
	last := 0
	for i, e := range l.loads {
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
		return l.fingerprint(), sparse
	}
	return l.fingerprint(), dense
}

func appendLoad(data []byte, requests, tokens uint64) []byte {
	data = binary.AppendUvarint(data, requests)
	return binary.AppendUvarint(data, tokens)
}

// tokenUnit is chosen so that most token counts fit in one or two bytes.
const tokenUnit = 16

// SetPeerLoad stores the digest of a peer. It drops a digest with a different fingerprint, because its indexes would
// refer to other endpoints.
func (l *Ledger) SetPeerLoad(name string, fingerprint uint32, data []byte, at time.Time) (ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := parsePeerLoad(data, len(l.loads))
	if !ok || fingerprint != l.fingerprint() {
		return false
	}
	d.at = at
	l.removePeerLoad(l.peers[name])
	if l.peers == nil {
		l.peers = map[string]*peerLoad{}
	}
	l.peers[name] = d
	l.addPeerLoad(d, 1)
	return true
}

func parsePeerLoad(data []byte, n int) (d *peerLoad, ok bool) {
	if len(data) == 0 || data[0] > formatSparse {
		return nil, false
	}
	d = &peerLoad{requests: make([]float64, n), tokens: make([]float64, n)}
	r := varintReader{data: data[1:]}
	if data[0] == formatDense {
		for i := range n {
			d.read(&r, i)
		}
		return d, !r.invalid && len(r.data) == 0
	}
	for at := uint64(0); len(r.data) > 0 && !r.invalid; {
		at += r.next()
		if at >= uint64(n) {
			return nil, false
		}
		d.read(&r, int(at))
	}
	return d, !r.invalid
}

func (d *peerLoad) read(r *varintReader, i int) {
	d.requests[i] = float64(r.next())
	d.tokens[i] = float64(r.next()) * tokenUnit
}

// varintReader reads varints from untrusted data.
type varintReader struct {
	data    []byte
	invalid bool
}

func (r *varintReader) next() (v uint64) {
	v, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.invalid = true
		return 0
	}
	r.data = r.data[size:]
	return v
}

func (l *Ledger) removePeerLoad(d *peerLoad) {
	if d != nil {
		l.addPeerLoad(d, -1)
	}
}

func (l *Ledger) addPeerLoad(d *peerLoad, sign float64) {
	for i, e := range l.loads {
		e.peerRequests = max(e.peerRequests+sign*d.requests[i], 0)
		e.peerTokens = max(e.peerTokens+sign*d.tokens[i], 0)
		l.recompute(int32(i))
	}
}

// ExpirePeers drops the digests of peers that have not sent one for digestTTL.
func (l *Ledger) ExpirePeers(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, d := range l.peers {
		if now.Sub(d.at) > digestTTL {
			l.removePeerLoad(d)
			delete(l.peers, name)
		}
	}
	for i := range l.loads {
		l.recompute(int32(i))
	}
	l.recomputeTotals()
}

// RemovePeer drops the digest of a peer that is known to be gone.
func (l *Ledger) RemovePeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.peers[name]; d != nil {
		l.removePeerLoad(d)
		delete(l.peers, name)
	}
}

// dropPeerLoads is called when the list of endpoints changes: the indexes in older digests would refer to other
// endpoints.
func (l *Ledger) dropPeerLoads() {
	l.peers = nil
	for i, e := range l.loads {
		e.peerRequests, e.peerTokens = 0, 0
		l.recompute(int32(i))
	}
}
