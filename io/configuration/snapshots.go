package configuration

import (
	"context"
	"time"

	"github.com/google/uuid"

	"savoryfall/core/annotate"
	"savoryfall/core/inforce"
)

// snapshotState is what the stream shows of the snapshots on it.
type snapshotState struct {
	newest time.Time
	oldest time.Time
	since  int
}

func (s *snapshotState) see(data []byte, at time.Time) {
	if inforce.IsSnapshot(data) {
		s.newest, s.since = at, 0
		return
	}
	if s.oldest.IsZero() {
		s.oldest = at
	}
	s.since++
}

const (
	// snapshotsPerRetention keeps several snapshots on the log, so that one that is lost or broken does no harm.
	snapshotsPerRetention = 4
	// snapshotRecords bounds the tail that a new VM has to fold.
	snapshotRecords = 2000
)

// SnapshotDue tells whether the stream needs a snapshot: before the notes that no snapshot covers can expire.
func (f *Follower) SnapshotDue(now time.Time, retention time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.Ready() || f.snapshot.since == 0 && now.Sub(f.snapshot.newest) < retention/2 {
		return false
	}
	last := f.snapshot.newest
	if last.IsZero() {
		last = f.snapshot.oldest
	}
	if last.IsZero() {
		return false
	}
	return f.snapshot.since >= snapshotRecords || now.Sub(last) > retention/snapshotsPerRetention
}

// WriteSnapshot appends the configuration in force to its own stream; twice does no harm.
func (f *Follower) WriteSnapshot(ctx context.Context) (err error) {
	defer annotate.Error(&err, "write snapshot")
	data, err := f.Current().Snapshot()
	if err != nil {
		return err
	}
	records, err := inforce.SnapshotRecords(uuid.NewString(), data)
	if err != nil {
		return err
	}
	for _, r := range records {
		_, err = f.log.Append(ctx, Stream, r)
		if err != nil {
			return err
		}
	}
	_ = f.logger.Log("event", "snapshotWritten", "next", f.Current().Next(), "bytes", len(data))
	return nil
}
