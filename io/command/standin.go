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
	defaultWeightRate  = 5
	standinStopTimeout = 5 * time.Second
)

func standinCommand(s streams) *ffcli.Command {
	parent := &ffcli.Command{
		Name: "standin", ShortUsage: "savoryfall standin log|vms|weights|engine|service [flags]",
		ShortHelp: "run a stand-in for a platform service or an endpoint", LongHelp: helpPage("standin"),
		FlagSet: newFlags("standin", s), Exec: noSubcommand,
	}
	for _, build := range []func(streams) *ffcli.Command{standinLog, standinVMs, standinWeights, standinEngine, standinService} {
		parent.Subcommands = append(parent.Subcommands, build(s))
	}
	return parent
}

// serveStandin serves a stand-in until ctx ends.
func serveStandin(ctx context.Context, s streams, address string, h http.Handler) (err error) {
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
	stopCtx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	return server.Stop(stopCtx)
}

func standinLog(s streams) *ffcli.Command {
	flags := newFlags("standin log", s)
	address := flags.String("address", "127.0.0.1:7100", "the address to listen on")
	appends := flags.Float64("appends", 400, "the appends per second that are accepted")
	retention := flags.Duration("retention", 24*time.Hour, "how long records are kept")
	return &ffcli.Command{
		Name: "log", ShortUsage: "savoryfall standin log [flags]", ShortHelp: "run the log service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveStandin(ctx, s, *address, logservice.New(*appends, *retention).Handler())
		},
	}
}

func standinVMs(s streams) *ffcli.Command {
	flags := newFlags("standin vms", s)
	address := flags.String("address", "127.0.0.1:7101", "the address to listen on")
	return &ffcli.Command{
		Name: "vms", ShortUsage: "savoryfall standin vms [flags]", ShortHelp: "run the VM list service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveStandin(ctx, s, *address, (&vmservice.Service{}).Handler())
		},
	}
}

func standinWeights(s streams) *ffcli.Command {
	flags := newFlags("standin weights", s)
	address := flags.String("address", "127.0.0.1:7102", "the address to listen on")
	perSecond := flags.Float64("rate", defaultWeightRate, "the fetches per second that are accepted")
	return &ffcli.Command{
		Name: "weights", ShortUsage: "savoryfall standin weights [flags]", ShortHelp: "run the weight store", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveStandin(ctx, s, *address, weightservice.New(*perSecond, max(int(*perSecond), 1)).Handler())
		},
	}
}

func standinEngine(s streams) *ffcli.Command {
	flags := newFlags("standin engine", s)
	address := flags.String("address", "127.0.0.1:7200", "the address to listen on")
	name := flags.String("name", "engine", "the engine's name")
	models := flags.String("models", "sur-large", "comma-separated names of the loaded models")
	step := flags.Duration("step", 20*time.Millisecond, "the time between two tokens of a request")
	fence := flags.Bool("checksFence", false, "refuse orders with an outdated fencing token")
	weights := flags.String("weights", "", "the base URL of the weight store")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "savoryfall standin engine [flags]", ShortHelp: "run a model engine", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			e := engine.New(engine.Options{
				Name: *name, Models: strings.Split(*models, ","), StepInterval: *step, ChecksFence: *fence, WeightStoreURL: *weights,
			})
			go e.Run(ctx)
			return serveStandin(ctx, s, *address, e.Handler())
		},
	}
}

func standinService(s streams) *ffcli.Command {
	flags := newFlags("standin service", s)
	address := flags.String("address", "127.0.0.1:7300", "the address to listen on")
	name := flags.String("name", "service", "the name of the service process")
	return &ffcli.Command{
		Name: "service", ShortUsage: "savoryfall standin service [flags]", ShortHelp: "run a plain service", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveStandin(ctx, s, *address, plainservice.New(*name).Handler())
		},
	}
}
