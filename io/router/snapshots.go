package router

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/membership"
	"savoryfall/io/configuration"
)

// snapshotWriter appends a snapshot of the configuration to the configuration stream before the release notes that it
// resulted from expire.
type snapshotWriter struct {
	follower  *configuration.Follower
	members   *membership.Table
	retention time.Duration
	logger    log.Logger
	cancel    context.CancelFunc
	tasks     background.Group
}

const (
	snapshotDuty       = "snapshot"
	checksPerRetention = 64
	maxCheckInterval   = time.Minute
	snapshotTimeout    = 30 * time.Second
)

func (s *snapshotWriter) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	period := min(s.retention/checksPerRetention, maxCheckInterval)
	s.tasks.Go(func() { background.Every(ctx, period, func(now time.Time) { s.writeIfDue(ctx, now) }) })
	return nil
}

func (s *snapshotWriter) Stop(context.Context) error {
	s.cancel()
	s.tasks.Stop()
	return nil
}

func (s *snapshotWriter) writeIfDue(ctx context.Context, now time.Time) {
	if !s.follower.SnapshotDue(now, s.retention) || !s.members.Assigned(snapshotDuty, 1) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	err := s.follower.WriteSnapshot(ctx)
	if err != nil {
		_ = s.logger.Log("event", "snapshotFailed", "err", err)
	}
}
