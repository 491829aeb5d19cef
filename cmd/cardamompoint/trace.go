package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/trace"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of a request, an endpoint or a configuration version",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads the log files of any number of gateways, or standard input, and prints the lines that\n" +
			"mention ID in the order of time.",
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return code.New(code.InvalidParameter, "trace needs the id of a request or an endpoint, or a version")
			}
			lines, err := readLogs(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return code.New(code.UnknownRequest, "no line mentions %q; it may have been dropped from the log", c.Args().First())
			}
			trace.Write(c.Root().Writer, lines)
			return nil
		},
	}
}

// readLogs returns the lines that mention id in the files, or in standard input if no files
// are given.
func readLogs(id string, files []string) ([]trace.Line, error) {
	if len(files) == 0 {
		return trace.Read(nil, "stdin", id, os.Stdin)
	}
	var lines []trace.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err = trace.Read(lines, filepath.Base(name), id, file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}
