package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

const macBytes = 12

// Signer creates and verifies tickets, which are authenticated but not encrypted. With an empty key it creates none and
// accepts none.
type Signer struct {
	key []byte
}

// NewSigner returns a Signer with the given secret, which must be the same on all routers.
func NewSigner(key []byte) *Signer {
	return &Signer{key: key}
}

// Sign returns a ticket for the endpoint and its incarnation.
func (s *Signer) Sign(endpoint, incarnation string) string {
	if len(s.key) == 0 {
		return ""
	}
	payload := endpoint + "\x00" + incarnation
	return base64.RawURLEncoding.EncodeToString(append(s.mac(payload), payload...))
}

// Verify decodes a ticket. ok is false if it was not created with the same key.
func (s *Signer) Verify(ticket string) (endpoint, incarnation string, ok bool) {
	raw, err := base64.RawURLEncoding.DecodeString(ticket)
	if err != nil || len(s.key) == 0 || len(raw) < macBytes {
		return "", "", false
	}
	payload := string(raw[macBytes:])
	if !hmac.Equal(raw[:macBytes], s.mac(payload)) {
		return "", "", false
	}
	return strings.Cut(payload, "\x00")
}

func (s *Signer) mac(payload string) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write([]byte(payload))
	return m.Sum(nil)[:macBytes]
}
