package main

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/internal/daemon"
	"cardamompoint.example/cardamompoint/internal/standin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform, an engine or a plain service",
		Commands: []*cli.Command{
			standinPlatformCommand(), standinEngineCommand(), standinServiceCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "the `ADDRESS` to listen on", Required: true}
}

// serveUntilSignal serves handler at the address of the flag "listen" until the first
// signal.
func serveUntilSignal(ctx context.Context, c *cli.Command, handler http.Handler) error {
	first, _, stop := daemon.Signals(ctx)
	defer stop()
	return daemon.Serve(first, c.String("listen"), handler)
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "published", Usage: "publish the documents in `DIR` at startup"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			platform := standin.NewPlatform()
			if dir := c.String("published"); dir != "" {
				if err := platform.PublishDir(dir); err != nil {
					return err
				}
			}
			return serveUntilSignal(ctx, c, platform.Handler())
		},
	}
}

func standinEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a stand-in for a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "token-interval", Usage: "the time between two tokens", Value: standin.DefaultTokenInterval},
			&cli.IntFlag{Name: "cache-tokens", Usage: "the size of the prefix cache, in tokens", Value: standin.DefaultCacheTokens},
			&cli.DurationFlag{Name: "keep-streams", Usage: "how long a finished stream can be resumed", Value: standin.DefaultStreamRetention},
			&cli.BoolFlag{Name: "check-fence", Usage: "reject orders with a stale fencing token"},
			&cli.DurationFlag{Name: "keep-alive", Usage: "the time between two empty lines while no token is generated", Value: standin.DefaultKeepAliveInterval},
			&cli.DurationFlag{Name: "first-token", Usage: "the time until the first token"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			engine := standin.NewEngine(standin.EngineOptions{
				TokenInterval:     c.Duration("token-interval"),
				CacheTokens:       c.Int("cache-tokens"),
				StreamRetention:   c.Duration("keep-streams"),
				CheckFence:        c.Bool("check-fence"),
				KeepAliveInterval: c.Duration("keep-alive"),
				FirstTokenDelay:   c.Duration("first-token"),
			})
			return serveUntilSignal(ctx, c, engine.Handler())
		},
	}
}

func standinServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in for a plain service's worker",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "delay", Usage: "the duration of a call", Value: standin.DefaultServiceDelay},
			&cli.BoolFlag{Name: "fencing", Usage: "reject calls with a stale fencing token"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			service := standin.NewService(standin.ServiceOptions{Delay: c.Duration("delay"), CheckFence: c.Bool("fencing")})
			return serveUntilSignal(ctx, c, service.Handler())
		},
	}
}
