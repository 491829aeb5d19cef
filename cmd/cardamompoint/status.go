package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/router/api"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the configuration and the peers of routers or gateways",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "router", Usage: "the operators' `ADDRESS` of a router; may be given several times"},
			&cli.StringSliceFlag{Name: "gateway", Usage: "the control `ADDRESS` of a gateway; may be given several times"},
			&cli.BoolFlag{Name: "workspaces", Usage: "list the versions of each workspace"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if !c.IsSet("router") && !c.IsSet("gateway") {
				return code.New(code.InvalidParameter, "status needs --router or --gateway")
			}
			lastErr := printGateways(ctx, c)
			for _, address := range c.StringSlice("router") {
				status, err := fetchStatus(ctx, address)
				if err != nil {
					fmt.Fprintf(c.Root().Writer, "%s: %v\n", address, err)
					lastErr = err
					continue
				}
				printStatus(c.Root().Writer, status, c.Bool("workspaces"))
			}
			return lastErr
		},
	}
}

// printGateways prints the status of each gateway. It returns the last error.
func printGateways(ctx context.Context, c *cli.Command) (lastErr error) {
	for _, address := range c.StringSlice("gateway") {
		var status gateway.Status
		if err := getFromOperator(ctx, address, gateway.StatusPath, &status); err != nil {
			fmt.Fprintf(c.Root().Writer, "%s: %v\n", address, err)
			lastErr = err
			continue
		}
		printGateway(c.Root().Writer, &status)
	}
	return lastErr
}

func printGateway(w io.Writer, status *gateway.Status) {
	fmt.Fprintf(w, "%s ready=%t stopping=%t version=%d age_ms=%d leader=%s store_lost=%t store_available_ms=%d era=%d revision=%d in_progress=%d open=%d closed=%d unanswered=%d\n",
		status.Node, status.Ready, status.Stopping, status.Version, status.KnowledgeAgeMS, status.Leader, status.StoreLost, status.StoreAvailableMS, status.Position.Era, status.Position.Revision, status.InProgress,
		status.Callers.Open, status.Callers.Closed, status.Callers.Unanswered)
	printUnsettled(w, status.Unsettled)
	for _, member := range status.Members {
		fmt.Fprintf(w, "  peer %s %s heard_ms=%d version=%d\n", member.Address, member.FailureDomain, member.HeardMS, member.Version)
	}
	for _, q := range status.Quarantines {
		fmt.Fprintf(w, "  quarantined parts=%s crashes=%d left_ms=%d\n", q.Parts, q.Crashes, q.LeftMS)
	}
	for _, endpoint := range status.Endpoints {
		fmt.Fprintf(w, "  endpoint %s %s %s load=%d own=%d reading=%d fault_percent=%d avoided=%t\n",
			endpoint.ID, endpoint.Service, endpoint.Address, endpoint.Load, endpoint.Own, endpoint.PrefillTokens, endpoint.FaultPercent, endpoint.Avoided)
	}
}

// printUnsettled prints the held and doubted entries.
func printUnsettled(w io.Writer, entries []knowledge.UnsettledEntry) {
	for _, entry := range entries {
		fmt.Fprintf(w, "  unsettled %s %s era=%d revision=%d\n", entry.Endpoint, entry.Reason, entry.Position.Era, entry.Position.Revision)
	}
}

func fetchStatus(ctx context.Context, address string) (*api.Status, error) {
	var status api.Status
	err := getFromOperator(ctx, address, "/status", &status)
	return &status, err
}

func printStatus(w io.Writer, status *api.Status, workspaces bool) {
	fmt.Fprintf(w, "%s %s ready=%t revision=%d digest=%s config_age_ms=%d list=%d list_age_ms=%d reader=%t stale=%t in_progress=%d records=%d engines=%d control_bytes=%d\n",
		status.Name, status.Address, status.Ready, status.Revision, status.Digest, status.ConfigAgeMS,
		status.ListVersion, status.ListAgeMS, status.Reader, status.Stale,
		status.InProgress, status.Records, len(status.Engines), status.ControlBytes)
	for _, peer := range status.Peers {
		fmt.Fprintf(w, "  peer %s %s %s suspected=%t heard_ms=%d revision=%d\n",
			peer.Name, peer.Address, peer.Health, peer.Suspected, peer.HeardMS, peer.Revision)
	}
	for key, fault := range status.Refused {
		fmt.Fprintf(w, "  refused %s: %s\n", key, fault)
	}
	if !workspaces {
		return
	}
	for _, workspace := range status.Workspaces {
		fmt.Fprintf(w, "  workspace %s template=%d parameters=%d\n",
			workspace.Workspace, workspace.TemplateVersion, workspace.ParameterVersion)
	}
}
