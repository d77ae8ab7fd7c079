package command

import (
	"context"
	"embed"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"sort"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes of every command.
const (
	exitDone     = 0
	exitFailed   = 1
	exitWrongUse = 2
)

// streams are where a command writes: results to out, everything else to err.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands are registered by the files of this package, one each.
var commands []func(s streams) *ffcli.Command

func register(build func(s streams) *ffcli.Command) {
	commands = append(commands, build)
}

//go:embed docs/*.md
var docs embed.FS

// page is the operator's page of a command, which is its help.
func page(name string) string {
	text, err := docs.ReadFile("docs/" + name + ".md")
	if err != nil {
		panic("command: no page for " + name)
	}
	return string(text)
}

// usageError is a wrong use of a command, as against a failure of what it does.
type usageError struct{ problem string }

func (e usageError) Error() string { return e.problem }

// Run runs the command that the arguments name, and returns its exit code: 0 done, 1 failed, 2 wrong use.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	s := streams{out: stdout, err: stderr}
	root := &ffcli.Command{
		Name: "savoryfall", ShortUsage: "savoryfall COMMAND [flags]",
		ShortHelp: "a router fleet for very many returning chats",
		LongHelp:  page("savoryfall"),
		FlagSet:   newFlags("savoryfall", s),
		Exec:      noCommand,
	}
	for _, build := range commands {
		root.Subcommands = append(root.Subcommands, build(s))
	}
	sort.Slice(root.Subcommands, func(i, j int) bool { return root.Subcommands[i].Name < root.Subcommands[j].Name })
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		return exitWrongUse
	}
	return exitCode(root.Run(ctx), s)
}

func exitCode(err error, s streams) int {
	var usage usageError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		fmt.Fprintln(s.err, "savoryfall:", usage.problem)
		return exitWrongUse
	}
	fmt.Fprintln(s.err, err)
	return exitFailed
}

func noCommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usageError{problem: fmt.Sprintf("there is no command %q; see savoryfall -h", args[0])}
	}
	return usageError{problem: "a command is missing; see savoryfall -h"}
}

func newFlags(name string, s streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.err)
	return flags
}

func printJSON(s streams, v any) (err error) {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func oneFile(args []string) (file string, err error) {
	if len(args) != 1 {
		return "", usageError{problem: fmt.Sprintf("want one file, got %d arguments", len(args))}
	}
	return args[0], nil
}
