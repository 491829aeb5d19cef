// Command cardamompoint runs routers and gateways, and the tools to check, inspect and
// try them.
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
	exitAborted = 3
)

// sighup receives SIGHUP. It is registered first, since the signal ends a process that does
// not handle it.
var sighup = make(chan os.Signal, 1)

func main() {
	signal.Notify(sighup, syscall.SIGHUP)
	os.Exit(run(context.Background(), os.Args))
}

// run executes the command line and returns the exit code.
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
		return exitAborted
	}
	return exitFailure
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:  "cardamompoint",
		Usage: "routers and gateways that send chats to the endpoints that hold their context",
		Description: "Exit codes: 0 success, 1 failure, 2 settings or a published document is not valid,\n" +
			"3 a shutdown aborted requests in progress.\n" +
			"Logs go to standard error.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "log-level", Usage: "verbosity of the log; 0 shows decisions"},
			&cli.BoolFlag{Name: "quiet", Usage: "log errors only"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			return ctx, configureLog(c.Int("log-level"), c.Bool("quiet"))
		},
		Commands: []*cli.Command{
			routerCommand(), gatewayCommand(), checkCommand(), statusCommand(), explainCommand(), traceCommand(), standinCommand(), demoCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return code.New(code.InvalidSettings, "unknown command %q", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
	}
	for _, command := range root.Commands {
		rejectArguments(command)
	}
	return root
}

// rejectArguments makes a command and its subcommands fail on arguments that they don't
// use.
func rejectArguments(command *cli.Command) {
	for _, subcommand := range command.Commands {
		rejectArguments(subcommand)
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

// hideErrorLogs keeps the log lines of failed requests from the terminal: the demo causes
// failures on purpose.
func hideErrorLogs() error {
	return setLogFlags(map[string]string{"stderrthreshold": "FATAL"})
}

func configureLog(level int, quiet bool) error {
	values := map[string]string{"v": fmt.Sprint(level), "logtostderr": "true"}
	if quiet {
		values["logtostderr"] = "false"
		values["stderrthreshold"] = "ERROR"
		values["alsologtostderr"] = "false"
		klog.SetOutput(io.Discard)
	}
	return setLogFlags(values)
}

// setLogFlags sets klog flags by name.
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
