package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/annotate"
	"savoryfall/io/operator"
)

func init() { register(statusCommand) }

func statusCommand(s streams) *ffcli.Command {
	flags := newFlags("status", s)
	routers := flags.String("routers", "http://127.0.0.1:7080", "comma-separated operator URLs of the routers")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "status", ShortUsage: "savoryfall status [--routers URL,…] [--json]",
		ShortHelp: "show the state of each router", LongHelp: helpPage("status"), FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return showStatus(ctx, s, *routers, *asJSON) },
	}
}

func showStatus(ctx context.Context, s streams, routers string, asJSON bool) (err error) {
	var all []operator.Status
	for _, url := range strings.Split(routers, ",") {
		var status operator.Status
		statusErr := getJSON(ctx, url+"/status", &status)
		if statusErr != nil {
			err = errors.Join(err, statusErr)
			continue
		}
		all = append(all, status)
	}
	if asJSON {
		return errors.Join(err, printJSON(s, all))
	}
	for _, status := range all {
		printStatus(s, status)
	}
	return err
}

func printStatus(s streams, r operator.Status) {
	fmt.Fprintf(s.out, "%s in %s: ready=%t draining=%t note=%s digest=%s waiting=%d claims=%d\n", r.VM, r.FailureDomain,
		r.Ready, r.Draining, r.Release.Note, r.Release.Digest, r.Waiting, r.Claims)
	for _, m := range r.Members {
		fmt.Fprintf(s.out, "  member %-16s %-8s %s heard %s ago\n", m.Name, m.State, m.Address,
			time.Since(m.LastHeard).Round(100*time.Millisecond))
	}
	for _, e := range r.Endpoints {
		fmt.Fprintf(s.out, "  endpoint %-16s %-8s %s requests=%.0f tokens=%.0f own=%.0f peers=%.0f reported=%.0f\n", e.Endpoint,
			e.Health, e.Address, e.Requests, e.Tokens, e.Own, e.Peers, e.Reported)
	}
}

const (
	responseTimeout  = 5 * time.Second
	maxResponseBytes = 64 << 20
)

// statusError is a response of a router with a status other than 200.
type statusError struct {
	status int
	text   string
}

func (e statusError) Error() string { return fmt.Sprintf("%d: %s", e.status, e.text) }

func getJSON(ctx context.Context, url string, v any) (err error) {
	defer annotate.Error(&err, "get %s", url)
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return statusError{status: resp.StatusCode, text: strings.TrimSpace(string(body))}
	}
	return json.Unmarshal(body, v)
}
