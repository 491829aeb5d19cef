package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/internal/daemon"
	"cardamompoint.example/cardamompoint/router"
	"cardamompoint.example/cardamompoint/router/settings"
)

func routerCommand() *cli.Command {
	return &cli.Command{
		Name:  "router",
		Usage: "run a router",
		Description: "Serves until SIGTERM or SIGINT, then drains: it becomes unready, keeps accepting requests for\n" +
			"timing.linger_ms and lets those in progress finish within timing.drain_ms.\n" +
			"A second signal stops it at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			loaded, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			r, err := router.New(router.Options{Settings: loaded})
			if err != nil {
				return err
			}
			first, second, stop := daemon.Signals(ctx)
			defer stop()
			return r.Run(first, second)
		},
	}
}
