package command

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/io/httpserver"
	"savoryfall/io/standin/engine"
	"savoryfall/io/standin/logservice"
	"savoryfall/io/standin/plainservice"
	"savoryfall/io/standin/vmservice"
	"savoryfall/io/standin/weightservice"
)

func init() { register(standinCommand) }

const (
	defaultWeightRate = 5
	killGrace         = 5 * time.Second
)

func standinCommand(s streams) *ffcli.Command {
	parent := &ffcli.Command{
		Name: "standin", ShortUsage: "savoryfall standin log|vms|weights|engine|service [flags]",
		ShortHelp: "run a small stand-in for the platform or an endpoint", LongHelp: page("standin"),
		FlagSet: newFlags("standin", s), Exec: noCommand,
	}
	for _, build := range []func(streams) *ffcli.Command{standinLog, standinVMs, standinWeights, standinEngine, standinService} {
		parent.Subcommands = append(parent.Subcommands, build(s))
	}
	return parent
}

// serveUntil serves a stand-in until the context ends.
func serveUntil(ctx context.Context, s streams, address string, h http.Handler) (err error) {
	server, err := httpserver.New(address, h, httpserver.Options{})
	if err != nil {
		return err
	}
	err = server.Start(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "listening on %s\n", server.Address())
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), killGrace)
	defer cancel()
	return server.Stop(stop)
}

func standinLog(s streams) *ffcli.Command {
	flags := newFlags("standin log", s)
	address := flags.String("address", "127.0.0.1:7100", "where to listen")
	appends := flags.Float64("appends", 400, "appends a second")
	retention := flags.Duration("retention", 24*time.Hour, "how long records are kept")
	return &ffcli.Command{
		Name: "log", ShortUsage: "savoryfall standin log [flags]", ShortHelp: "the log service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveUntil(ctx, s, *address, logservice.New(*appends, *retention).Handler())
		},
	}
}

func standinVMs(s streams) *ffcli.Command {
	flags := newFlags("standin vms", s)
	address := flags.String("address", "127.0.0.1:7101", "where to listen")
	return &ffcli.Command{
		Name: "vms", ShortUsage: "savoryfall standin vms [flags]", ShortHelp: "the VM list", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveUntil(ctx, s, *address, (&vmservice.Service{}).Handler())
		},
	}
}

func standinWeights(s streams) *ffcli.Command {
	flags := newFlags("standin weights", s)
	address := flags.String("address", "127.0.0.1:7102", "where to listen")
	perSecond := flags.Float64("rate", defaultWeightRate, "fetches a second")
	return &ffcli.Command{
		Name: "weights", ShortUsage: "savoryfall standin weights [flags]", ShortHelp: "the weight store", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveUntil(ctx, s, *address, weightservice.New(*perSecond, max(int(*perSecond), 1)).Handler())
		},
	}
}

func standinEngine(s streams) *ffcli.Command {
	flags := newFlags("standin engine", s)
	address := flags.String("address", "127.0.0.1:7200", "where to listen")
	name := flags.String("name", "engine", "the engine's name")
	models := flags.String("models", "sur-large", "the models that are loaded, separated by commas")
	step := flags.Duration("step", 20*time.Millisecond, "the time between two tokens of a request")
	fence := flags.Bool("checksFence", false, "refuse orders with an old fencing number")
	weights := flags.String("weights", "", "the base URL of the weight store")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "savoryfall standin engine [flags]", ShortHelp: "a model engine", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			e := engine.New(engine.Options{
				Name: *name, Models: strings.Split(*models, ","), Step: *step, ChecksFence: *fence, WeightStore: *weights,
			})
			go e.Run(ctx)
			return serveUntil(ctx, s, *address, e.Handler())
		},
	}
}

func standinService(s streams) *ffcli.Command {
	flags := newFlags("standin service", s)
	address := flags.String("address", "127.0.0.1:7300", "where to listen")
	name := flags.String("name", "service", "the process's name")
	return &ffcli.Command{
		Name: "service", ShortUsage: "savoryfall standin service [flags]", ShortHelp: "a plain service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveUntil(ctx, s, *address, plainservice.New(*name).Handler())
		},
	}
}
