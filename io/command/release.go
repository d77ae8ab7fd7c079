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

	"savoryfall/core/inforce"
	"savoryfall/core/note"
	"savoryfall/io/configuration"
	"savoryfall/io/operator"
	"savoryfall/io/platformlog"
)

func init() { register(releaseCommand) }

// releaseFlags are those that all commands on release notes share.
type releaseFlags struct {
	log     *string
	routers *string
	json    *bool
	wait    *time.Duration
}

const platformTimeout = 10 * time.Second

func addReleaseFlags(flags *flag.FlagSet) (f releaseFlags) {
	f.log = flags.String("log", "", "the base URL of the platform's log service")
	f.routers = flags.String("routers", "", "the operators' URLs of the routers, separated by commas")
	f.json = flags.Bool("json", false, "print JSON")
	f.wait = flags.Duration("wait", platformTimeout, "how long to wait until a note is in force on every router")
	return f
}

func releaseCommand(s streams) *ffcli.Command {
	parent := &ffcli.Command{
		Name: "release", ShortUsage: "savoryfall release check|diff|publish|show [flags] [FILE]",
		ShortHelp: "publish the next release note, and read back what is in force",
		FlagSet:   newFlags("release", s), LongHelp: page("release"), Exec: noCommand,
	}
	for _, sub := range []struct {
		name, help string
		run        func(context.Context, streams, releaseFlags, []string) error
	}{
		{"check", "check a note, against what is in force when --log is given", checkNote},
		{"diff", "show what a note would change", diffNote},
		{"publish", "publish a note and wait until it is in force", publishNote},
		{"show", "show what is in force on every router", showRelease},
	} {
		flags := newFlags("release "+sub.name, s)
		shared := addReleaseFlags(flags)
		parent.Subcommands = append(parent.Subcommands, &ffcli.Command{
			Name: sub.name, ShortUsage: "savoryfall release " + sub.name + " [flags] [FILE]", ShortHelp: sub.help,
			FlagSet: flags, LongHelp: page("release"),
			Exec: func(ctx context.Context, args []string) error { return sub.run(ctx, s, shared, args) },
		})
	}
	return parent
}

func readNote(args []string) (n *note.Note, err error) {
	file, err := oneFile(args)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return note.Parse(file, data)
}

func (f releaseFlags) client() (l *platformlog.Log, err error) {
	if *f.log == "" {
		return nil, usageError{problem: "--log is missing"}
	}
	return platformlog.New(*f.log, &http.Client{Timeout: platformTimeout}), nil
}

func (f releaseFlags) inForce(ctx context.Context) (c *inforce.Configuration, err error) {
	l, err := f.client()
	if err != nil {
		return nil, err
	}
	c, _, err = configuration.Recover(ctx, l)
	return c, err
}

// refusedError says that a note is sound but would not be, or was not, accepted.
type refusedError struct{ id, reason string }

func (e refusedError) Error() string { return fmt.Sprintf("note %q is refused: %s", e.id, e.reason) }

func checkNote(ctx context.Context, s streams, f releaseFlags, args []string) (err error) {
	n, err := readNote(args)
	if err != nil {
		return err
	}
	if *f.log != "" {
		c, err := f.inForce(ctx)
		if err != nil {
			return err
		}
		if refusal := c.Check(n); refusal != "" {
			return refusedError{id: n.ID(), reason: refusal}
		}
	}
	_, err = fmt.Fprintf(s.out, "%s: sound, %d items\n", args[0], len(n.Touched()))
	return err
}

// difference is one item that a note would change.
type difference struct {
	Verb   string         `json:"verb"`
	Item   string         `json:"item"`
	Before map[string]any `json:"before,omitempty"`
	After  map[string]any `json:"after,omitempty"`
}

func diffNote(ctx context.Context, s streams, f releaseFlags, args []string) (err error) {
	n, err := readNote(args)
	if err != nil {
		return err
	}
	c, err := f.inForce(ctx)
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
		return refusedError{id: n.ID(), reason: refusal}
	}
	return nil
}

func differences(c *inforce.Configuration, n *note.Note) (list []difference) {
	before := map[string]map[string]any{}
	for _, i := range c.Items() {
		before[i.Key()] = i.Values()
	}
	for _, part := range []struct {
		verb  string
		items []note.Item
	}{{"added", n.Added()}, {"changed", n.Changed()}, {"withdrawn", n.Withdrawn()}} {
		for _, i := range part.items {
			list = append(list, difference{Verb: part.verb, Item: i.Key(), Before: before[i.Key()], After: i.Values()})
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

const publishTries = 3

// publishNote may append the note more than once when an answer is lost; its id makes that harmless.
func publishNote(ctx context.Context, s streams, f releaseFlags, args []string) (err error) {
	n, err := readNote(args)
	if err != nil {
		return err
	}
	l, err := f.client()
	if err != nil {
		return err
	}
	began := time.Now()
	for range publishTries {
		_, err = l.Append(ctx, configuration.Stream, inforce.NoteRecord(n.Text()))
		if err == nil {
			break
		}
		fmt.Fprintln(s.err, "append failed, trying again:", err)
	}
	if err != nil {
		return err
	}
	c, err := f.inForce(ctx)
	if err != nil {
		return err
	}
	if refusal, known := c.Refusal(n.ID()); !known || refusal != "" {
		return refusedError{id: n.ID(), reason: refusal}
	}
	fmt.Fprintf(s.out, "note %q is accepted at offset %d, digest %s\n", n.ID(), c.Next()-1, c.Digest())
	return f.awaitInForce(ctx, s, c, began)
}

// awaitInForce reads back from every router until each has applied the note.
func (f releaseFlags) awaitInForce(ctx context.Context, s streams, c *inforce.Configuration, began time.Time) (err error) {
	ctx, cancel := context.WithTimeout(ctx, *f.wait)
	defer cancel()
	for _, url := range f.urls() {
		err = awaitRouter(ctx, s, url, c, began)
		if err != nil {
			return err
		}
	}
	return nil
}

func (f releaseFlags) urls() (urls []string) {
	for _, u := range strings.Split(*f.routers, ",") {
		if u != "" {
			urls = append(urls, u)
		}
	}
	return urls
}

// lagError says that a router did not have the note in force in time.
type lagError struct {
	router string
	cause  error
}

func (e lagError) Error() string {
	return fmt.Sprintf("router %s does not have the note in force yet: %v", e.router, e.cause)
}

const readBackPeriod = 100 * time.Millisecond

func awaitRouter(ctx context.Context, s streams, url string, c *inforce.Configuration, began time.Time) (err error) {
	for {
		var status operator.Status
		err = getJSON(ctx, url+"/status", &status)
		if err == nil && status.Release.Next >= c.Next() {
			late := max(status.Release.AppliedAt.Sub(began), 0)
			_, err = fmt.Fprintf(s.out, "%s: in force after %.2f s, by the %s\n", status.VM, late.Seconds(), status.Release.Source)
			return err
		}
		select {
		case <-ctx.Done():
			return lagError{router: url, cause: ctx.Err()}
		case <-time.After(readBackPeriod):
		}
	}
}

// routerRelease is what one router has in force.
type routerRelease struct {
	Router  string           `json:"router"`
	Release operator.Release `json:"release"`
	Behind  int64            `json:"behind"`
	Problem string           `json:"problem,omitempty"`
}

func showRelease(ctx context.Context, s streams, f releaseFlags, _ []string) (err error) {
	if len(f.urls()) == 0 {
		return usageError{problem: "--routers is missing"}
	}
	var list []routerRelease
	newest := int64(0)
	for _, url := range f.urls() {
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
