package hub_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"savoryfall/core/compactedlog"
	"savoryfall/io/hub"
)

// listTopic is the topic of a router list.
type listTopic struct{ records []compactedlog.Record }

func (l *listTopic) Newest(context.Context) (p compactedlog.Page, err error) {
	newest := map[string]compactedlog.Record{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		p.Records = append(p.Records, r)
	}
	p.LogEnd = int64(len(l.records))
	return p, nil
}

func (l *listTopic) Put(_ context.Context, key string, value []byte) (err error) {
	l.records = append(l.records, compactedlog.Record{Key: key, Value: value, Offset: int64(len(l.records))})
	return nil
}

func (l *listTopic) Generation() int64 { return 1 }

// Guards against a router of an earlier release that ran unnoticed, because its entry was written over or is old.
func TestUnrecordingRoutersAreNoticed(t *testing.T) {
	const older, recording = `{"address":"a"}`, `{"address":"a","recordsVersions":true}`
	for name, tc := range map[string]struct {
		entries [][2]string
		since   int64
		may     bool
	}{
		"none":                          {nil, 0, false},
		"first start":                   {[][2]string{{"x", recording}, {"y", recording}}, 0, false},
		"older":                         {[][2]string{{"x", recording}, {"y", older}}, 0, true},
		"written over":                  {[][2]string{{"x", older}, {"x", recording}}, 0, true},
		"of a VM that is gone":          {[][2]string{{"gone", older}, {"x", recording}}, 1, false},
		"new VM":                        {[][2]string{{"x", recording}, {"y", recording}}, 1, false},
		"another address":               {[][2]string{{"x", recording}, {"x", recording}}, 1, false},
		"rolled back":                   {[][2]string{{"x", recording}, {"x", older}}, 1, true},
		"rolled back and forward again": {[][2]string{{"x", recording}, {"x", older}, {"x", recording}}, 1, true},
		"unreadable":                    {[][2]string{{"x", recording}, {"y", "["}}, 1, true},
	} {
		topic := &listTopic{}
		for _, e := range tc.entries {
			assert.NilError(t, topic.Put(t.Context(), e[0], []byte(e[1])))
		}
		may, end, err := hub.NewRouterList(topic).Unrecording(t.Context(), tc.since)
		assert.NilError(t, err)
		assert.Equal(t, may, tc.may, name)
		assert.Equal(t, end, int64(len(tc.entries)), name)
	}
}
