package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/annotate"
	"savoryfall/core/settings"
	"savoryfall/io/router"
)

func init() { register(routerCommand) }

func routerCommand(s streams) *ffcli.Command {
	flags := newFlags("router", s)
	file := flags.String("settings", "", "the settings file (TOML)")
	return &ffcli.Command{
		Name: "router", ShortUsage: "savoryfall router --settings FILE", ShortHelp: "run a router that is configured by release notes",
		LongHelp: helpPage("router"), FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix("SAVORYFALL")},
		Exec: func(ctx context.Context, _ []string) error { return runRouter(ctx, s, *file) },
	}
}

func newLogger(s streams) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(s.err))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

func readSettings(file string) (s *settings.Settings, err error) {
	if file == "" {
		return nil, usageError{message: "missing --settings"}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return settings.Parse(file, data)
}

func runRouter(ctx context.Context, s streams, file string) (err error) {
	ignoreBrokenPipe()
	hangup := catchHangups()
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	limitHeap(cfg.VM().MemoryMB())
	logger := newLogger(s)
	r, err := router.New(cfg, logger)
	if err != nil {
		return err
	}
	err = r.Start(ctx)
	if err != nil {
		return err
	}
	logIgnoredHangups(ctx, logger, hangup)
	return stopRouter(r, cfg)
}

// logIgnoredHangups logs, for each SIGHUP until ctx ends, that changed settings take effect only at the next start.
func logIgnoredHangups(ctx context.Context, logger log.Logger, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			_ = logger.Log("event", "settingsKept", "why", "settings are read only at startup")
		}
	}
}

// stopRouter drains the router; a second signal, or the drain timeout of the settings, ends the wait.
func stopRouter(r *router.Router, cfg *settings.Settings) (err error) {
	defer annotate.Error(&err, "stop router")
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Limits().DrainTimeout()+cfg.Callers().LameDuck())
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return r.Stop(ctx)
}
