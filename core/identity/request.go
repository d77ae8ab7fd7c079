package identity

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"savoryfall/core/prompt"
)

// Request is what stays the same between the attempts of a client at one request. The attempt id, the deadline, and what a client
// states that resumes a stream differ between them, and the service may. The client account is not part of it: a client can find a
// body for any hash, so that what is known of a request has to be kept by account and hash.
type Request struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Model  string
	// Prompt is the whole prompt with its own last part. A session's next turn has the same last part and more tokens.
	Prompt prompt.Chain
	Body   []byte
}

// Hash identifies the request.
func (r Request) Hash() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Model} {
		writeString(d, s)
	}
	writeNumber(d, uint64(len(r.Prompt)))
	for _, p := range r.Prompt {
		writeNumber(d, p.ID)
		writeNumber(d, uint64(p.Tokens))
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Attempt returns what identifies one attempt of a client account.
func Attempt(account, attempt string) uint64 { return Pair(account, attempt) }

// Pair returns the hash of two strings.
func Pair(a, b string) uint64 {
	d := xxhash.New()
	writeString(d, a)
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// writeString writes a string and its end. None of the strings holds a zero byte: HTTP does not allow it.
func writeString(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.WriteString("\x00")
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
}
