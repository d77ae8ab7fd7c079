package router

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"savoryfall/core/background"
	"savoryfall/core/membership"
	"savoryfall/io/configuration"
)

// snapshots appends the configuration to its own stream before the notes that made it expire.
type snapshots struct {
	follower  *configuration.Follower
	members   *membership.Table
	retention time.Duration
	logger    log.Logger
	cancel    context.CancelFunc
	running   background.Group
}

const (
	snapshotDuty    = "snapshot"
	checksPerPeriod = 64
	maxCheck        = time.Minute
	snapshotTimeout = 30 * time.Second
)

func (s *snapshots) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	period := min(s.retention/checksPerPeriod, maxCheck)
	s.running.Go(func() { background.Every(ctx, period, func(now time.Time) { s.check(ctx, now) }) })
	return nil
}

func (s *snapshots) Stop(context.Context) error {
	s.cancel()
	s.running.Stop()
	return nil
}

func (s *snapshots) check(ctx context.Context, now time.Time) {
	if !s.follower.SnapshotDue(now, s.retention) || !s.members.Mine(snapshotDuty, 1) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	err := s.follower.WriteSnapshot(ctx)
	if err != nil {
		_ = s.logger.Log("event", "snapshotFailed", "err", err)
	}
}
