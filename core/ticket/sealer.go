package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

const macBytes = 12

// Sealer makes and opens tickets; with an empty key it makes none and opens none.
type Sealer struct {
	key []byte
}

// NewSealer takes the secret that all routers share.
func NewSealer(key []byte) *Sealer {
	return &Sealer{key: key}
}

// Seal names the endpoint and its incarnation.
func (s *Sealer) Seal(endpoint, incarnation string) string {
	if len(s.key) == 0 {
		return ""
	}
	text := endpoint + "\x00" + incarnation
	return base64.RawURLEncoding.EncodeToString(append(s.mac(text), text...))
}

// Open reads a ticket; ok is false for one that was not sealed with the same key.
func (s *Sealer) Open(ticket string) (endpoint, incarnation string, ok bool) {
	raw, err := base64.RawURLEncoding.DecodeString(ticket)
	if err != nil || len(s.key) == 0 || len(raw) < macBytes {
		return "", "", false
	}
	text := string(raw[macBytes:])
	if !hmac.Equal(raw[:macBytes], s.mac(text)) {
		return "", "", false
	}
	return strings.Cut(text, "\x00")
}

func (s *Sealer) mac(text string) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write([]byte(text))
	return m.Sum(nil)[:macBytes]
}
