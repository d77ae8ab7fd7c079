package account

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"savoryfall/core/tomldoc"
)

const digestPrefix = "sha256:"

// Account is one client account; a release note holds only the digest of its bearer key.
type Account struct {
	name      string
	keyDigest string
	weight    float64
}

// Read takes an account from its table.
func Read(t *tomldoc.Table) (a Account) {
	a.name = t.Required("name")
	a.keyDigest = t.Required("keyDigest")
	a.weight = t.Real("weight", 1, 0.001, 1000)
	raw, err := hex.DecodeString(strings.TrimPrefix(a.keyDigest, digestPrefix))
	if a.keyDigest != "" && (err != nil || len(raw) != sha256.Size || !strings.HasPrefix(a.keyDigest, digestPrefix)) {
		t.Fault("keyDigest", "something else", digestPrefix+" and the 64 hexadecimal digits of the key's SHA-256")
	}
	return a
}

// Digest is what a release note holds in place of a bearer key.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Name is unique among the accounts.
func (a Account) Name() string { return a.name }

// KeyDigest is the digest of the bearer key.
func (a Account) KeyDigest() string { return a.keyDigest }

// Weight is the account's share relative to the others when a pool is near its bound.
func (a Account) Weight() float64 { return a.weight }
