package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/io/capacity"
)

func init() { register(capacityCommand) }

// measured is all that the command measures.
type measured struct {
	Slopes        []*capacity.Slope  `json:"slopes"`
	ClaimLogBytes float64            `json:"claimLogBytes"`
	Streams       []capacity.Streams `json:"streams"`
}

func capacityCommand(s streams) *ffcli.Command {
	flags := newFlags("capacity", s)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "savoryfall capacity [--json]", ShortHelp: "measure the slopes of docs/CAPACITY.md on this machine",
		LongHelp: page("capacity"), FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return measure(ctx, s, *asJSON) },
	}
}

func measure(ctx context.Context, s streams, asJSON bool) (err error) {
	var m measured
	decision, digest, ledgerMemory := capacity.Placements()
	fold, snapshot, memory, restore := capacity.Configurations()
	claims, claimBytes := capacity.Claims()
	m.ClaimLogBytes = claimBytes
	m.Slopes = append(m.Slopes, decision, digest, ledgerMemory, fold, snapshot, memory, restore, claims, capacity.Spills())
	byRouters, cpuByRouters, byEndpoints, err := capacity.Peers(ctx)
	if err != nil {
		return err
	}
	m.Slopes = append(m.Slopes, byRouters, cpuByRouters, byEndpoints)
	m.Streams, err = capacity.MeasureStreams(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(s, m)
	}
	for _, slope := range m.Slopes {
		fmt.Fprintln(s.out, slope.Text())
	}
	fmt.Fprintf(s.out, "a claimed call puts %.0f B on the log\n", m.ClaimLogBytes)
	for _, row := range m.Streams {
		fmt.Fprintln(s.out, row.Text())
	}
	return nil
}
