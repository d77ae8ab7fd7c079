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
	"savoryfall/io/load"
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
		plan:     flags.String("plan", "", "the plan (TOML)"),
		policies: flags.String("policy", "bounded", "the placement policies to run one after the other, separated by commas; all for every one"),
		out:      flags.String("out", "", "a folder for a CSV file and a plot of each run"),
		embedded: flags.Bool("embedded", true, "run the routers and the stand-ins in this process"),
		json:     flags.Bool("json", false, "print one JSON object for each run, on a line of its own"),
		routing:  flags.String("routing", "", "TOML for the section routing of the routers"),
		limits:   flags.String("limits", "", "TOML for the section limits of the routers"),
	}
	return &ffcli.Command{
		Name: "load", ShortUsage: "savoryfall load --plan FILE [flags]", ShortHelp: "drive a fleet by a plan and report the three measures",
		LongHelp: page("load"), FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return runLoad(ctx, s, f) },
	}
}

func runLoad(ctx context.Context, s streams, f loadFlags) (err error) {
	if *f.plan == "" {
		return usageError{problem: "--plan is missing"}
	}
	if !*f.embedded {
		return usageError{problem: "only --embedded runs are built so far"}
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
	run := load.New(p, policy, map[string]string{"routing": *f.routing, "limits": *f.limits})
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
