package command

import (
	"context"
	"math"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/settings"
	"savoryfall/io/logwriter"
)

func init() { register(entryCommand) }

func entryCommand(s streams) *ffcli.Command {
	flags := newFlags("entry", s)
	file := flags.String("settings", "", "the settings file (TOML)")
	return &ffcli.Command{
		Name: "entry", ShortUsage: "savoryfall entry --settings FILE",
		ShortHelp: "run a router on an entry VM, with shared state in the platform's store",
		LongHelp:  helpPage("entry"), FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix("SAVORYFALL")},
		Exec: func(ctx context.Context, _ []string) error { return runEntry(ctx, s, *file) },
	}
}

func readEntrySettings(file string) (s *settings.Entry, data []byte, err error) {
	if file == "" {
		return nil, nil, usageError{message: "missing --settings"}
	}
	data, err = os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	s, err = settings.ParseEntry(file, data)
	return s, data, err
}

func runEntry(ctx context.Context, s streams, file string) (err error) {
	ignoreBrokenPipe()
	hangup := catchHangups()
	cfg, data, err := readEntrySettings(file)
	if err != nil {
		return err
	}
	logger := logwriter.New(s.out)
	limitHeap(cfg.MemoryMB())
	vm, err := newEntryVM(cfg, logger)
	if err != nil {
		return err
	}
	err = vm.start(ctx)
	if err != nil {
		return err
	}
	vm.watchSettings(ctx, file, data, hangup)
	return vm.stop()
}

// heapShare is the share of the VM's memory from which on the runtime collects garbage early. What budgets allow to be held stays
// under it.
const heapShare = 0.75

// limitHeap keeps garbage from taking the process beyond the memory of its VM. GOMEMLIMIT goes before it.
func limitHeap(memoryMB float64) {
	if memoryMB > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(heapShare * memoryMB * (1 << 20)))
	}
}
