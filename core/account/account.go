package account

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"savoryfall/core/tomldoc"
)

const digestPrefix = "sha256:"

// Account is one client account. A release note holds only the digest of its bearer key, not the key itself.
type Account struct {
	name      string
	keyDigest string
	weight    float64
}

// Read reads an account from its TOML table and reports invalid values to the table.
func Read(t *tomldoc.Table) (a Account) {
	a.name = t.RequiredString("name")
	a.keyDigest = t.RequiredString("keyDigest")
	a.weight = t.Float("weight", 1, 0.001, 1000)
	sum, err := hex.DecodeString(strings.TrimPrefix(a.keyDigest, digestPrefix))
	if a.keyDigest != "" && (err != nil || len(sum) != sha256.Size || !strings.HasPrefix(a.keyDigest, digestPrefix)) {
		t.AddError("keyDigest", "something else", digestPrefix+" and the 64 hexadecimal digits of the key's SHA-256")
	}
	return a
}

// DigestKey returns the digest of a bearer key that a release note holds in place of the key.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Name returns the account's name, which is unique among the accounts.
func (a Account) Name() string { return a.name }

// KeyDigest returns the digest of the account's bearer key.
func (a Account) KeyDigest() string { return a.keyDigest }

// Weight returns the account's share relative to the other accounts when a pool is near its limit.
func (a Account) Weight() float64 { return a.weight }
