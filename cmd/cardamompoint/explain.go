package main

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway"
	"cardamompoint.example/cardamompoint/router/api"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show which endpoint a request goes to and why",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "router", Usage: "the operators' `ADDRESS` of a router; needs --workspace and --chat"},
			&cli.StringFlag{Name: "workspace", Usage: "the workspace's `NAME`"},
			&cli.StringFlag{Name: "chat", Usage: "the chat's `NAME`"},
			&cli.StringFlag{Name: "gateway", Usage: "the control `ADDRESS` of a gateway; needs --host and --path"},
			&cli.StringFlag{Name: "host", Usage: "the request's `HOST`"},
			&cli.StringFlag{Name: "path", Usage: "the request's `PATH`"},
			&cli.StringFlag{Name: "prompt", Usage: "the prompt's parts as `ID:TOKENS,...`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := checkExplainFlags(c); err != nil {
				return err
			}
			if c.IsSet("gateway") {
				return explainGateway(ctx, c)
			}
			query := url.Values{"workspace": {c.String("workspace")}, "chat": {c.String("chat")}}
			var explanation api.Explanation
			if err := getFromOperator(ctx, c.String("router"), "/explain?"+query.Encode(), &explanation); err != nil {
				return err
			}
			printExplanation(c, &explanation)
			return nil
		},
	}
}

func printExplanation(c *cli.Command, explanation *api.Explanation) {
	w := c.Root().Writer
	fmt.Fprintf(w, "workspace %s chat %s model %s\n", explanation.Workspace, explanation.Chat, explanation.Model)
	for i, candidate := range explanation.Candidates {
		fmt.Fprintf(w, "%3d %s %s home=%s %s\n", i+1, candidate.Engine, candidate.FailureDomain, candidate.Home, candidate.Reason)
	}
	for _, candidate := range explanation.PassedOver {
		fmt.Fprintf(w, "  - %s %s %s\n", candidate.Engine, candidate.FailureDomain, candidate.Reason)
	}
}

// checkExplainFlags requires either the flags for a router or those for a gateway.
func checkExplainFlags(c *cli.Command) error {
	router := []string{"router", "workspace", "chat"}
	gateway := []string{"gateway", "host", "path"}
	needed, others := router, append(gateway, "prompt")
	if c.IsSet("gateway") {
		needed, others = gateway, router
	}
	for _, name := range needed {
		if !c.IsSet(name) {
			return code.New(code.InvalidParameter, "explain needs --router, --workspace and --chat, or --gateway, --host and --path; --%s is missing", name)
		}
	}
	for _, name := range others {
		if c.IsSet(name) {
			return code.New(code.InvalidParameter, "--%s can't be combined with --%s", name, needed[0])
		}
	}
	return nil
}

// explainGateway prints the route of a request at a gateway and the candidate endpoints in
// order.
func explainGateway(ctx context.Context, c *cli.Command) error {
	query := url.Values{"host": {c.String("host")}, "path": {c.String("path")}, "prompt": {c.String("prompt")}}
	var explanation gateway.Explanation
	if err := getFromOperator(ctx, c.String("gateway"), gateway.ExplainPath+"?"+query.Encode(), &explanation); err != nil {
		return err
	}
	w := c.Root().Writer
	fmt.Fprintf(w, "route %s service %s version=%d age_ms=%d\n", explanation.Route, explanation.Service, explanation.Version, explanation.KnowledgeAgeMS)
	if q := explanation.Quarantine; q != nil {
		fmt.Fprintf(w, "quarantined parts=%s crashes=%d left_ms=%d\n", q.Parts, q.Crashes, q.LeftMS)
	}
	if explanation.AwaitsLocations {
		fmt.Fprintln(w, "waits for prompt locations: the VM has just started")
	}
	fmt.Fprintf(w, "retry budget: %s\n", explanation.RetryBudget)
	for _, reset := range explanation.IdleResets {
		fmt.Fprintf(w, "idle reset %s idle_ms=%d for_ms=%d\n", reset.Endpoint, reset.IdleMS, reset.ForMS)
	}
	for _, limit := range explanation.Limits {
		fmt.Fprintf(w, "limit %s per_second=%.2f own_per_second=%.2f wait_ms=%d\n", limit.Endpoint, limit.PerSecond, limit.OwnPerSecond, limit.WaitMS)
	}
	printUnsettled(w, explanation.Unsettled)
	for i, candidate := range explanation.Candidates {
		fmt.Fprintf(w, "%3d %s %s %s cost_ms=%.0f load=%d missing=%d reading=%d delay_ms=%.0f fetch=%s fault_percent=%d outcomes=%.1f slowness=%.2f contention=%.2f avoided=%t\n",
			i+1, candidate.Endpoint, candidate.FailureDomain, candidate.Reason, candidate.CostMS, candidate.Load, candidate.MissingTokens, candidate.PrefillTokens, candidate.DelayMS, candidate.FetchFrom, candidate.FaultPercent, candidate.Outcomes, candidate.Slowness, candidate.Contention, candidate.Avoided)
	}
	return nil
}
