package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/activeconfig"
	"savoryfall/core/releasenote"
	"savoryfall/io/configuration"
	"savoryfall/io/operator"
	"savoryfall/io/platformlog"
)

func init() { register(releaseCommand) }

// releaseFlags holds the flags that all release subcommands share.
type releaseFlags struct {
	log     *string
	routers *string
	json    *bool
	wait    *time.Duration
}

const platformTimeout = 10 * time.Second

func addReleaseFlags(flags *flag.FlagSet) (f releaseFlags) {
	f.log = flags.String("log", "", "the base URL of the platform's log service")
	f.routers = flags.String("routers", "", "comma-separated operator URLs of the routers")
	f.json = flags.Bool("json", false, "print JSON")
	f.wait = flags.Duration("wait", platformTimeout, "how long to wait until every router has applied the note")
	return f
}

func releaseCommand(s streams) *ffcli.Command {
	parent := &ffcli.Command{
		Name: "release", ShortUsage: "savoryfall release check|diff|publish|show [flags] [FILE]",
		ShortHelp: "publish release notes and show which configuration is active",
		FlagSet:   newFlags("release", s), LongHelp: helpPage("release"), Exec: noSubcommand,
	}
	for _, sub := range []struct {
		name, help string
		run        func(context.Context, streams, releaseFlags, []string) error
	}{
		{"check", "check a note; with --log, also against the active configuration", checkReleaseNote},
		{"diff", "show what a note would change", diffReleaseNote},
		{"publish", "publish a note and wait until it is active", publishReleaseNote},
		{"show", "show the active configuration of every router", showRelease},
	} {
		flags := newFlags("release "+sub.name, s)
		shared := addReleaseFlags(flags)
		parent.Subcommands = append(parent.Subcommands, &ffcli.Command{
			Name: sub.name, ShortUsage: "savoryfall release " + sub.name + " [flags] [FILE]", ShortHelp: sub.help,
			FlagSet: flags, LongHelp: helpPage("release"),
			Exec: func(ctx context.Context, args []string) error { return sub.run(ctx, s, shared, args) },
		})
	}
	return parent
}

func readReleaseNote(args []string) (n *releasenote.Note, err error) {
	file, err := singleFile(args)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return releasenote.Parse(file, data)
}

func (f releaseFlags) logClient() (l *platformlog.Client, err error) {
	if *f.log == "" {
		return nil, usageError{message: "missing --log"}
	}
	return platformlog.New(*f.log, &http.Client{Timeout: platformTimeout}), nil
}

func (f releaseFlags) activeConfiguration(ctx context.Context) (c *activeconfig.Configuration, err error) {
	l, err := f.logClient()
	if err != nil {
		return nil, err
	}
	c, _, err = configuration.Recover(ctx, l)
	return c, err
}

// rejectedError reports a well-formed release note that was not, or would not be, accepted.
type rejectedError struct{ id, reason string }

func (e rejectedError) Error() string { return fmt.Sprintf("note %q is rejected: %s", e.id, e.reason) }

func checkReleaseNote(ctx context.Context, s streams, f releaseFlags, args []string) (err error) {
	n, err := readReleaseNote(args)
	if err != nil {
		return err
	}
	if *f.log != "" {
		c, err := f.activeConfiguration(ctx)
		if err != nil {
			return err
		}
		if refusal := c.Check(n); refusal != "" {
			return rejectedError{id: n.ID(), reason: refusal}
		}
	}
	_, err = fmt.Fprintf(s.out, "%s: valid, %d items\n", args[0], len(n.Items()))
	return err
}

// difference describes one item that a release note would add, change or withdraw.
type difference struct {
	Verb   string         `json:"verb"`
	Item   string         `json:"item"`
	Before map[string]any `json:"before,omitempty"`
	After  map[string]any `json:"after,omitempty"`
}

func diffReleaseNote(ctx context.Context, s streams, f releaseFlags, args []string) (err error) {
	n, err := readReleaseNote(args)
	if err != nil {
		return err
	}
	c, err := f.activeConfiguration(ctx)
	if err != nil {
		return err
	}
	list := differences(c, n)
	if *f.json {
		return printJSON(s, list)
	}
	for _, d := range list {
		printDifference(s, d)
	}
	if refusal := c.Check(n); refusal != "" {
		return rejectedError{id: n.ID(), reason: refusal}
	}
	return nil
}

func differences(c *activeconfig.Configuration, n *releasenote.Note) (list []difference) {
	current := map[string]map[string]any{}
	for _, i := range c.Items() {
		current[i.Key()] = i.Values()
	}
	for _, part := range []struct {
		verb  string
		items []releasenote.Item
	}{{"added", n.Added()}, {"changed", n.Changed()}, {"withdrawn", n.Withdrawn()}} {
		for _, i := range part.items {
			list = append(list, difference{Verb: part.verb, Item: i.Key(), Before: current[i.Key()], After: i.Values()})
		}
	}
	return list
}

func printDifference(s streams, d difference) {
	fmt.Fprintf(s.out, "%s %s\n", d.Verb, d.Item)
	keys := map[string]bool{}
	for k := range d.Before {
		keys[k] = true
	}
	for k := range d.After {
		keys[k] = true
	}
	for _, k := range sortedKeys(keys) {
		before, after := fmt.Sprint(d.Before[k]), fmt.Sprint(d.After[k])
		if before == after {
			continue
		}
		if d.Before[k] != nil {
			fmt.Fprintf(s.out, "  - %s = %s\n", k, before)
		}
		if d.After[k] != nil {
			fmt.Fprintf(s.out, "  + %s = %s\n", k, after)
		}
	}
}

func sortedKeys(set map[string]bool) (keys []string) {
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

const publishAttempts = 3

// publishReleaseNote may append the release note more than once when a response is lost. This is safe, because routers
// apply each ID only once.
func publishReleaseNote(ctx context.Context, s streams, f releaseFlags, args []string) (err error) {
	n, err := readReleaseNote(args)
	if err != nil {
		return err
	}
	l, err := f.logClient()
	if err != nil {
		return err
	}
	start := time.Now()
	for range publishAttempts {
		_, err = l.Append(ctx, configuration.Stream, activeconfig.NoteRecord(n.Text()))
		if err == nil {
			break
		}
		fmt.Fprintln(s.err, "append failed, retrying:", err)
	}
	if err != nil {
		return err
	}
	c, err := f.activeConfiguration(ctx)
	if err != nil {
		return err
	}
	if refusal, known := c.Refusal(n.ID()); !known || refusal != "" {
		return rejectedError{id: n.ID(), reason: refusal}
	}
	fmt.Fprintf(s.out, "note %q is accepted at offset %d, digest %s\n", n.ID(), c.NextOffset()-1, c.Digest())
	return f.waitUntilApplied(ctx, s, c, start)
}

// waitUntilApplied polls the status of each router until all have applied the release note.
func (f releaseFlags) waitUntilApplied(ctx context.Context, s streams, c *activeconfig.Configuration, start time.Time) (err error) {
	ctx, cancel := context.WithTimeout(ctx, *f.wait)
	defer cancel()
	for _, url := range f.routerURLs() {
		err = waitForRouter(ctx, s, url, c, start)
		if err != nil {
			return err
		}
	}
	return nil
}

func (f releaseFlags) routerURLs() (routerURLs []string) {
	for _, u := range strings.Split(*f.routers, ",") {
		if u != "" {
			routerURLs = append(routerURLs, u)
		}
	}
	return routerURLs
}

// notAppliedError reports that a router did not apply the release note in time.
type notAppliedError struct {
	router string
	cause  error
}

func (e notAppliedError) Error() string {
	return fmt.Sprintf("router %s has not applied the note yet: %v", e.router, e.cause)
}

const statusPollInterval = 100 * time.Millisecond

func waitForRouter(ctx context.Context, s streams, url string, c *activeconfig.Configuration, start time.Time) (err error) {
	for {
		var status operator.Status
		err = getJSON(ctx, url+"/status", &status)
		if err == nil && status.Release.Next >= c.NextOffset() {
			delay := max(status.Release.AppliedAt.Sub(start), 0)
			_, err = fmt.Fprintf(s.out, "%s: active after %.2f s, from the %s\n", status.VM, delay.Seconds(), status.Release.Source)
			return err
		}
		select {
		case <-ctx.Done():
			return notAppliedError{router: url, cause: ctx.Err()}
		case <-time.After(statusPollInterval):
		}
	}
}

// routerRelease describes the active configuration of one router.
type routerRelease struct {
	Router  string           `json:"router"`
	Release operator.Release `json:"release"`
	Behind  int64            `json:"behind"`
	Problem string           `json:"problem,omitempty"`
}

func showRelease(ctx context.Context, s streams, f releaseFlags, _ []string) (err error) {
	if len(f.routerURLs()) == 0 {
		return usageError{message: "missing --routers"}
	}
	var list []routerRelease
	newest := int64(0)
	for _, url := range f.routerURLs() {
		var status operator.Status
		r := routerRelease{Router: url}
		if err := getJSON(ctx, url+"/status", &status); err != nil {
			r.Problem = err.Error()
		}
		r.Release = status.Release
		newest = max(newest, r.Release.Next)
		list = append(list, r)
	}
	for i := range list {
		list[i].Behind = newest - list[i].Release.Next
	}
	if *f.json {
		return printJSON(s, list)
	}
	for _, r := range list {
		_, err = fmt.Fprintf(s.out, "%s note=%s next=%d digest=%s behind=%d appliedAgo=%s by=%s %s\n", r.Router, r.Release.Note,
			r.Release.Next, r.Release.Digest, r.Behind, time.Since(r.Release.AppliedAt).Round(time.Second), r.Release.Source, r.Problem)
	}
	return err
}
