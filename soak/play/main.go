package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/annotate"
	"savoryfall/platform/day"
	"savoryfall/platform/site"
)

// options are the flags of the command.
type options struct {
	seed    uint64
	vary    bool
	routers int
	readers int
	latency time.Duration
	program string
	dir     string
	name    string
	kinds   bool
	// out is where the results are printed.
	out io.Writer
}

func main() {
	err := runCommand(os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runCommand runs the command with the arguments.
func runCommand(args []string) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := options{out: os.Stdout}
	flags := flag.NewFlagSet("play", flag.ContinueOnError)
	flags.Uint64Var(&o.seed, "seed", 1, "the seed of all that is drawn")
	flags.BoolVar(&o.vary, "vary", false, "shift each event by up to 0.3 s")
	flags.IntVar(&o.routers, "routers", 0, "how many routers to start, those of the site if 0")
	flags.IntVar(&o.readers, "readers", 0, "turn away the router that reads for the others and the given number that read next, in place of those that the day names")
	flags.DurationVar(&o.latency, "latency", 4*time.Millisecond, "the time that the store takes to answer a call")
	flags.StringVar(&o.program, "program", "", "the program of the routers, built from this repository if empty")
	flags.StringVar(&o.dir, "dir", "", "the directory for settings and logs, which is kept; a temporary one if empty")
	flags.StringVar(&o.name, "day", "", "the name of the day, if the file holds several")
	flags.BoolVar(&o.kinds, "kinds", false, "print which kinds of events are played")
	cmd := &ffcli.Command{
		Name: "play", ShortUsage: "play [flags] SITE DAY", ShortHelp: "play the day of the file DAY on the deployment of the file SITE", FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error { return run(ctx, o, args) },
	}
	return cmd.ParseAndRun(ctx, args)
}

var errUsage = errors.New("give the file of a site and that of a day, or -kinds")

func run(ctx context.Context, o options, args []string) (err error) {
	if o.kinds {
		fmt.Println(strings.Join(day.Kinds(), "\n"))
		return nil
	}
	if len(args) != 2 {
		return errUsage
	}
	s, err := site.Read(args[0])
	if err != nil {
		return err
	}
	d, err := day.Read(args[1], o.name)
	if err != nil {
		return err
	}
	if o.dir == "" {
		o.dir, err = os.MkdirTemp("", "play-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(o.dir) }()
	}
	o.program, err = build(ctx, o)
	if err != nil {
		return err
	}
	p, err := newPlay(o, s, d)
	if err != nil {
		return err
	}
	defer p.close()
	return p.run(ctx)
}

// build returns the path of the routers' program, and builds it if none is named.
func build(ctx context.Context, o options) (program string, err error) {
	defer annotate.Error(&err, "build the routers' program")
	if o.program != "" {
		return filepath.Abs(o.program)
	}
	program = filepath.Join(o.dir, "savoryfall")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "savoryfall").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}
