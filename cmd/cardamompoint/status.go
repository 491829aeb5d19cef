package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/api"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

const operatorTimeout = 5 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "ask routers what is in force and whom they know",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "router", Usage: "the operators' `ADDRESS` of a router; may be given several times", Required: true},
			&cli.BoolFlag{Name: "workspaces", Usage: "list the versions of each workspace"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var failed error
			for _, address := range c.StringSlice("router") {
				status, err := askStatus(ctx, address)
				if err != nil {
					fmt.Fprintf(c.Root().Writer, "%s: %v\n", address, err)
					failed = err
					continue
				}
				printStatus(c.Root().Writer, status, c.Bool("workspaces"))
			}
			return failed
		},
	}
}

func askStatus(ctx context.Context, address string) (*api.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var status api.Status
	err := jsonhttp.Get(ctx, http.DefaultClient, "http://"+address+"/status", &status)
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
