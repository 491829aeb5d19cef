// Command cardamompoint runs a router of the fleet and the tools around it.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitInvalid = 2
	exitCut     = 3
)

// hangUps receives SIGHUP. It is registered before anything else, since a process
// that does not handle the signal ends.
var hangUps = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangUps, syscall.SIGHUP)
	os.Exit(run(context.Background(), os.Args))
}

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string) int {
	defer klog.Flush()
	err := newCommand().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "cardamompoint:", err)
	if code.Is(err, code.InvalidSettings) || code.Is(err, code.InvalidTemplate) || code.Is(err, code.InvalidDocument) {
		return exitInvalid
	}
	if code.Is(err, code.Draining) {
		return exitCut
	}
	return exitFailure
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:  "cardamompoint",
		Usage: "a router fleet for returning chats",
		Description: "Exit codes: 0 success, 1 failure, 2 settings or a published document is not valid,\n" +
			"3 a shutdown cut requests in progress.\n" +
			"Logs go to standard error.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "log-level", Usage: "verbosity of the log; 0 shows decisions"},
			&cli.BoolFlag{Name: "quiet", Usage: "log errors only"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			return ctx, setUpLog(c.Int("log-level"), c.Bool("quiet"))
		},
		Commands: []*cli.Command{
			routerCommand(), gatewayCommand(), checkCommand(), statusCommand(), explainCommand(), traceCommand(), standinCommand(), demoCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return code.New(code.InvalidSettings, "there is no command %q", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
	}
	for _, command := range root.Commands {
		refuseArguments(command)
	}
	return root
}

// refuseArguments lets a command and those below it fail on arguments that they
// do not use.
func refuseArguments(command *cli.Command) {
	for _, below := range command.Commands {
		refuseArguments(below)
	}
	action := command.Action
	command.Action = func(ctx context.Context, c *cli.Command) error {
		if c.Args().Present() && command.ArgsUsage == "" {
			return code.New(code.InvalidSettings, "%s takes no argument %q", c.FullName(), c.Args().First())
		}
		if action == nil {
			return cli.ShowSubcommandHelp(c)
		}
		return action(ctx, c)
	}
}

// setUpExpectedFailures keeps lines of failed requests from the terminal: the
// demo brings failures about.
func setUpExpectedFailures() error {
	return setLogFlags(map[string]string{"stderrthreshold": "FATAL"})
}

func setUpLog(level int, quiet bool) error {
	values := map[string]string{"v": fmt.Sprint(level), "logtostderr": "true"}
	if quiet {
		values["logtostderr"] = "false"
		values["stderrthreshold"] = "ERROR"
		values["alsologtostderr"] = "false"
		klog.SetOutput(io.Discard)
	}
	return setLogFlags(values)
}

// setLogFlags sets flags of the log by name.
func setLogFlags(values map[string]string) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range values {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	return nil
}
