package origin_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryfall/core/directory"
	"savoryfall/core/origin"
)

var sentAt = time.UnixMilli(100_000)

func entry(id, service, version string, born int64) directory.Entry {
	return directory.Entry{ID: id, Service: service, Version: version, Born: born}
}

// Versions are texts without order, and a version of another service is another one.
func TestContinues(t *testing.T) {
	o := origin.Of(entry("e1", "models", "v1.1", 1000), sentAt)
	for name, tc := range map[string]struct {
		e    directory.Entry
		want bool
	}{
		"same version":                 {entry("e2", "models", "v1.1", 2000), true},
		"longer version":               {entry("e2", "models", "v1.10", 2000), false},
		"shorter version":              {entry("e2", "models", "v1", 2000), false},
		"version unknown":              {entry("e2", "models", "", 2000), false},
		"same text of another service": {entry("e2", "plain", "v1.1", 2000), false},
		"same process":                 {entry("e1", "models", "", 1000), true},
		"restarted with another one":   {entry("e1", "models", "v2", 2000), false},
	} {
		assert.Equal(t, o.Continues(tc.e), tc.want, name)
	}
}

// A stream that began at an unknown version goes on at the process that began it only.
func TestUnknownVersionContinuesAtItsProcess(t *testing.T) {
	o := origin.Of(entry("e1", "models", "", 1000), sentAt)
	assert.Assert(t, o.Continues(entry("e1", "models", "", 1000)))
	assert.Assert(t, !o.Continues(entry("e1", "models", "", 2000)))
	assert.Assert(t, !o.Continues(entry("e2", "models", "", 1000)))
	unborn := origin.Of(entry("e1", "models", "", 0), sentAt)
	assert.Assert(t, !unborn.Continues(entry("e1", "models", "", 0)))
}

// Guards against a stream that is bound to the version that an endpoint had before it started again.
func TestDoubtful(t *testing.T) {
	o := origin.Of(entry("e1", "models", "v1", 90_000), sentAt)
	for name, tc := range map[string]struct {
		e    directory.Entry
		want bool
	}{
		"same process":                    {entry("e1", "models", "v1", 90_000), false},
		"started before the request":      {entry("e1", "models", "v2", 99_900), true},
		"started while it was sent":       {entry("e1", "models", "v2", 100_200), true},
		"started later":                   {entry("e1", "models", "v2", 103_500), false},
		"started before, same version":    {entry("e1", "models", "v1", 99_900), false},
		"started before, version unknown": {entry("e1", "models", "", 99_900), true},
		"earlier process":                 {entry("e1", "models", "v2", 80_000), false},
		"another endpoint":                {entry("e2", "models", "v2", 99_900), false},
	} {
		assert.Equal(t, o.Doubtful(tc.e), tc.want, name)
	}
}

// Guards against an account that learns of, or names, the streams of another one.
func TestKeysOfAccountsDiffer(t *testing.T) {
	assert.Equal(t, origin.Key("coop", "s1"), origin.Key("coop", "s1"))
	assert.Assert(t, origin.Key("coop", "s1") != origin.Key("mill", "s1"))
	assert.Assert(t, origin.Key("coop", "s1") != origin.Key("coo", "ps1"))
	assert.Assert(t, origin.Key("", "s1") != origin.Key("s1", ""))
}
