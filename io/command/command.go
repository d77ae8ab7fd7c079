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

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// streams holds a command's output: results go to out, diagnostics to err.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands holds the constructor of each subcommand; each file of this package registers one in its init function.
var commands []func(s streams) *ffcli.Command

func register(build func(s streams) *ffcli.Command) {
	commands = append(commands, build)
}

//go:embed docs/*.md
var docs embed.FS

// helpPage returns the embedded documentation page of a command, which is its long help text.
func helpPage(name string) string {
	text, err := docs.ReadFile("docs/" + name + ".md")
	if err != nil {
		panic("command: no documentation page for " + name)
	}
	return string(text)
}

// usageError reports wrong arguments or flags, which have an exit code of their own.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

// Run runs the command that args name and returns its exit code: 0 success, 1 failure, 2 usage error.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	s := streams{out: stdout, err: stderr}
	root := &ffcli.Command{
		Name: "savoryfall", ShortUsage: "savoryfall COMMAND [flags]",
		ShortHelp: "a fleet of routers for multi-turn chats and plain HTTP services",
		LongHelp:  helpPage("savoryfall"),
		FlagSet:   newFlags("savoryfall", s),
		Exec:      noSubcommand,
	}
	for _, build := range commands {
		root.Subcommands = append(root.Subcommands, build(s))
	}
	sort.Slice(root.Subcommands, func(i, j int) bool { return root.Subcommands[i].Name < root.Subcommands[j].Name })
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		return exitUsage
	}
	return exitCode(root.Run(ctx), s)
}

func exitCode(err error, s streams) int {
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(s.err, "savoryfall:", usage.message)
		return exitUsage
	}
	fmt.Fprintln(s.err, err)
	return exitFailure
}

func noSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return usageError{message: fmt.Sprintf("unknown command %q; see savoryfall -h", args[0])}
	}
	return usageError{message: "missing command; see savoryfall -h"}
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

func singleFile(args []string) (file string, err error) {
	if len(args) != 1 {
		return "", usageError{message: fmt.Sprintf("expected one file, got %d arguments", len(args))}
	}
	return args[0], nil
}
