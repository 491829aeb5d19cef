package main

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/examples"
	"cardamompoint.example/cardamompoint/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run and check a whole deployment in this process",
		Description: "Starts the platform, engines, plain services and routers of an example deployment on\n" +
			"loopback addresses, sends chats and deposits to different routers, checks each answer and\n" +
			"prints the counts. It exits by itself; the exit code is 1 if a check failed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: examples.Deployments[0], Usage: strings.Join(examples.Deployments, " or ")},
			&cli.IntFlag{Name: "chats", Value: 200, Usage: "the number of chats"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "the number of turns of each chat"},
			&cli.IntFlag{Name: "deposits", Value: 50, Usage: "the number of deposits, each sent twice"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Root().Bool("quiet") {
				if err := hideErrorLogs(); err != nil {
					return err
				}
			}
			return demo.Run(ctx, c.Root().Writer, demo.Options{
				Deployment: c.String("deployment"),
				Chats:      c.Int("chats"),
				Rounds:     c.Int("rounds"),
				Deposits:   c.Int("deposits"),
			})
		},
	}
}
