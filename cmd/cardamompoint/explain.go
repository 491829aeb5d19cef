package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/api"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "tell which engine a chat goes to and why",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "router", Usage: "the operators' `ADDRESS` of a router", Required: true},
			&cli.StringFlag{Name: "workspace", Usage: "the workspace's `NAME`", Required: true},
			&cli.StringFlag{Name: "chat", Usage: "the chat's `NAME`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
			defer cancel()
			query := url.Values{"workspace": {c.String("workspace")}, "chat": {c.String("chat")}}
			var explanation api.Explanation
			target := "http://" + c.String("router") + "/explain?" + query.Encode()
			if err := jsonhttp.Get(ctx, http.DefaultClient, target, &explanation); err != nil {
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
