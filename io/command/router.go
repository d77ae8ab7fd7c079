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
		Name: "router", ShortUsage: "savoryfall router --settings FILE", ShortHelp: "run a router on an entry VM",
		LongHelp: page("router"), FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix("SAVORYFALL")},
		Exec: func(ctx context.Context, _ []string) error { return runRouter(ctx, s, *file) },
	}
}

func newLogger(s streams) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(s.err))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

func readSettings(file string) (s *settings.Settings, err error) {
	if file == "" {
		return nil, usageError{problem: "--settings is missing"}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return settings.Parse(file, data)
}

func runRouter(ctx context.Context, s streams, file string) (err error) {
	outliveLogReader()
	// Before all else and until the end, as the signal ends a process that does not take it.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	logger := newLogger(s)
	r, err := router.New(cfg, logger)
	if err != nil {
		return err
	}
	err = r.Start(ctx)
	if err != nil {
		return err
	}
	keepSettings(ctx, logger, hangup)
	return stopRouter(r, cfg)
}

// keepSettings tells whoever has changed the settings that they hold from the next start on, until the router is to stop.
func keepSettings(ctx context.Context, logger log.Logger, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			_ = logger.Log("event", "settingsKept", "why", "they are read at the start only")
		}
	}
}

// stopRouter drains; a second signal, or the bound of the settings, ends the waiting.
func stopRouter(r *router.Router, cfg *settings.Settings) (err error) {
	defer annotate.Error(&err, "stop router")
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Limits().Drain()+cfg.Callers().LameDuck())
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return r.Stop(ctx)
}
