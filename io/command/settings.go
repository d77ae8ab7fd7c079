package command

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/io/router"
)

func init() { register(settingsCommand) }

func settingsCommand(s streams) *ffcli.Command {
	flags := newFlags("settings check", s)
	entry := flags.Bool("entry", false, "check a settings file of savoryfall entry")
	check := &ffcli.Command{
		Name: "check", ShortUsage: "savoryfall settings check [--entry] FILE", ShortHelp: "check a settings file and the files that it refers to",
		FlagSet: flags, LongHelp: helpPage("settings"),
		Exec: func(_ context.Context, args []string) error {
			if *entry {
				return checkEntrySettings(s, args)
			}
			return checkSettings(s, args)
		},
	}
	return &ffcli.Command{
		Name: "settings", ShortUsage: "savoryfall settings check FILE", ShortHelp: "check settings files",
		FlagSet: newFlags("settings", s), LongHelp: helpPage("settings"), Subcommands: []*ffcli.Command{check},
		Exec: noSubcommand,
	}
}

func checkSettings(s streams, args []string) (err error) {
	file, err := singleFile(args)
	if err != nil {
		return err
	}
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	err = router.CheckFiles(cfg)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	_, err = fmt.Fprintf(s.out, "%s: valid\n", file)
	return err
}

func checkEntrySettings(s streams, args []string) (err error) {
	file, err := singleFile(args)
	if err != nil {
		return err
	}
	_, _, err = readEntrySettings(file)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: valid\n", file)
	return err
}
