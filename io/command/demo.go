package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/io/fleet"
)

func init() { register(demoCommand) }

const (
	demoAccount     = "guardia"
	demoRouters     = 3
	demoEngines     = 4
	demoServices    = 2
	demoStopTimeout = 10 * time.Second
)

func demoCommand(s streams) *ffcli.Command {
	flags := newFlags("demo", s)
	quiet := flags.Bool("quiet", false, "write no log lines")
	onPlatform := flags.Bool("platform", false, "run entry VMs on a stand-in of the platform's store instead of routers that read release notes")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "savoryfall demo [--platform]",
		ShortHelp: "run a small fleet with stand-ins for the platform and the endpoints in this process",
		LongHelp:  helpPage("demo"), FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *onPlatform {
				return runPlatformDemo(ctx, s, *quiet)
			}
			return runDemo(ctx, s, *quiet)
		},
	}
}

func runDemo(ctx context.Context, s streams, quiet bool) (err error) {
	logger := newLogger(s)
	if quiet {
		logger = log.NewLogfmtLogger(io.Discard)
	}
	f := fleet.New(fleet.Options{
		Routers: demoRouters, Engines: demoEngines, Services: demoServices, Accounts: []string{demoAccount},
		ExtraSettings: map[string]string{"callers": "lameDuck = \"0s\"\n"},
	}, logger)
	err = f.Start(ctx)
	if err != nil {
		return err
	}
	printDemo(s, f)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	return f.Stop(stopCtx)
}

func printDemo(s streams, f *fleet.Fleet) {
	r := f.Routers()[0]
	fmt.Fprintf(s.out, "callers    http://%s/v1\noperators  http://%s\nkey        %s\n\n", r.CallerAddress(), r.OperatorAddress(), fleet.APIKey(demoAccount))
	fmt.Fprintf(s.out, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"sur-large\","+
		"\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"What is the firewood quota?\"}]}'\n\n", r.CallerAddress(), fleet.APIKey(demoAccount))
	fmt.Fprintln(s.out, "press Ctrl-C to stop")
}
