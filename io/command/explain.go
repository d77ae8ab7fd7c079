package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"savoryfall/core/decision"
)

func init() { register(explainCommand) }

func explainCommand(s streams) *ffcli.Command {
	flags := newFlags("explain", s)
	routers := flags.String("routers", "http://127.0.0.1:7080", "the operators' URLs of the routers, separated by commas")
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "savoryfall explain [--routers URL,…] [--json] REQUEST",
		ShortHelp: "show how a request was routed, and why", LongHelp: helpPage("explain"), FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{message: "expected one request ID"}
			}
			return explain(ctx, s, *routers, args[0], *asJSON)
		},
	}
}

// decisionNotFoundError reports that no router has a record of the request.
type decisionNotFoundError struct{ request string }

func (e decisionNotFoundError) Error() string {
	return fmt.Sprintf("no router has a record of request %s; each keeps its latest %d decisions", e.request, decision.DefaultSize)
}

func explain(ctx context.Context, s streams, routers, request string, asJSON bool) (err error) {
	for _, url := range strings.Split(routers, ",") {
		var d decision.Decision
		if getJSON(ctx, url+"/explain/"+request, &d) != nil {
			continue
		}
		if asJSON {
			return printJSON(s, d)
		}
		printDecision(s, d)
		return nil
	}
	return decisionNotFoundError{request: request}
}

func printDecision(s streams, d decision.Decision) {
	fmt.Fprintf(s.out, "request %s at %s\n", d.Request, d.At.Format(time.RFC3339Nano))
	fmt.Fprintf(s.out, "  account %s, pool %s, chat %s, waited %d ms\n", d.Account, d.Pool, d.Key, d.WaitedMs)
	for i, a := range d.Attempts {
		fmt.Fprintf(s.out, "  attempt %d on %s, reason %s: %.0f requests and %.0f tokens there, mean %.0f tokens over %d usable of %d endpoints\n",
			i+1, a.Endpoint, a.Reason, a.Requests, a.Tokens, a.MeanTokens, a.Usable, a.Members)
		fmt.Fprintf(s.out, "    %s after %d ms %s\n", a.Outcome, a.Ms, a.Problem)
	}
	fmt.Fprintf(s.out, "  answered %d %s %s\n", d.Status, d.Outcome, d.Problem)
}
