package configuration

import (
	"context"
	"time"

	"github.com/google/uuid"

	"savoryfall/core/activeconfig"
	"savoryfall/core/annotate"
)

// snapshotState tracks the newest snapshot on the stream and the release notes after it.
type snapshotState struct {
	newestSnapshot   time.Time
	firstReleaseNote time.Time
	notesSince       int
}

func (s *snapshotState) observe(data []byte, at time.Time) {
	if activeconfig.IsSnapshotPart(data) {
		s.newestSnapshot, s.notesSince = at, 0
		return
	}
	if s.firstReleaseNote.IsZero() {
		s.firstReleaseNote = at
	}
	s.notesSince++
}

const (
	// snapshotsPerRetention is the number of snapshots written per retention period. With several on the log, one that
	// is lost or damaged does no harm.
	snapshotsPerRetention = 4
	// maxReleaseNotesSince bounds the number of release notes that a new VM has to apply after the newest snapshot.
	maxReleaseNotesSince = 2000
)

// SnapshotDue reports whether a snapshot must be written now. One is due long before release notes that no snapshot
// covers can expire.
func (f *Follower) SnapshotDue(now time.Time, retention time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.Ready() || f.snapshot.notesSince == 0 && now.Sub(f.snapshot.newestSnapshot) < retention/2 {
		return false
	}
	last := f.snapshot.newestSnapshot
	if last.IsZero() {
		last = f.snapshot.firstReleaseNote
	}
	if last.IsZero() {
		return false
	}
	return f.snapshot.notesSince >= maxReleaseNotesSince || now.Sub(last) > retention/snapshotsPerRetention
}

// WriteSnapshot appends a snapshot of the configuration in force to the configuration stream. Concurrent or repeated
// writes do no harm.
func (f *Follower) WriteSnapshot(ctx context.Context) (err error) {
	defer annotate.Error(&err, "write snapshot")
	data, err := f.Current().Snapshot()
	if err != nil {
		return err
	}
	records, err := activeconfig.SnapshotRecords(uuid.NewString(), data)
	if err != nil {
		return err
	}
	for _, r := range records {
		_, err = f.log.Append(ctx, Stream, r)
		if err != nil {
			return err
		}
	}
	_ = f.logger.Log("event", "snapshotWritten", "next", f.Current().NextOffset(), "bytes", len(data))
	return nil
}
