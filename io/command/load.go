package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/loadplan"
	"savoryfall/core/placement"
	"savoryfall/io/loadtest"
)

func init() { register(loadCommand) }

type loadFlags struct {
	plan     *string
	policies *string
	out      *string
	embedded *bool
	json     *bool
	routing  *string
	limits   *string
}

func loadCommand(s streams) *ffcli.Command {
	flags := newFlags("load", s)
	f := loadFlags{
		plan:     flags.String("plan", "", "the load plan (TOML)"),
		policies: flags.String("policy", "bounded", "comma-separated placement policies, run one after the other; \"all\" runs every policy"),
		out:      flags.String("out", "", "the directory to write a CSV file and a plot of each run to"),
		embedded: flags.Bool("embedded", true, "run the routers and the stand-ins in this process (the only supported mode)"),
		json:     flags.Bool("json", false, "print the report of each run as one line of JSON"),
		routing:  flags.String("routing", "", "TOML added to the routing section of the routers' settings"),
		limits:   flags.String("limits", "", "TOML added to the limits section of the routers' settings"),
	}
	return &ffcli.Command{
		Name: "load", ShortUsage: "savoryfall load --plan FILE [flags]",
		ShortHelp: "run a load plan against a fleet and report cache reuse, skew and control traffic",
		LongHelp:  helpPage("load"), FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return runLoad(ctx, s, f) },
	}
}

func runLoad(ctx context.Context, s streams, f loadFlags) (err error) {
	if *f.plan == "" {
		return usageError{message: "missing --plan"}
	}
	if !*f.embedded {
		return usageError{message: "--embedded=false is not supported"}
	}
	data, err := os.ReadFile(*f.plan)
	if err != nil {
		return err
	}
	p, err := loadplan.Parse(*f.plan, data)
	if err != nil {
		return err
	}
	policies := strings.Split(*f.policies, ",")
	if *f.policies == "all" {
		policies = placement.Names()
	}
	for _, policy := range policies {
		err = errors.Join(err, runPolicy(ctx, s, f, p, policy))
	}
	return err
}

func runPolicy(ctx context.Context, s streams, f loadFlags, p *loadplan.Plan, policy string) (err error) {
	run := loadtest.New(p, policy, map[string]string{"routing": *f.routing, "limits": *f.limits})
	report, err := run.Do(ctx, log.NewNopLogger())
	if err != nil {
		return err
	}
	if *f.out != "" {
		err = run.Write(*f.out)
		if err != nil {
			return err
		}
	}
	if *f.json {
		return json.NewEncoder(s.out).Encode(report)
	}
	_, err = fmt.Fprint(s.out, report.Text())
	return err
}
