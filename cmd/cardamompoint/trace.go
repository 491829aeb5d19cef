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
		Usage:     "print the story of a request, an endpoint or a configuration version from logs",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads the log files of any number of gateways, or standard input, and prints the lines that\n" +
			"concern ID in the order of their time.",
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return code.New(code.InvalidParameter, "trace needs the id of a request or an endpoint, or a version")
			}
			lines, err := readLogs(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return code.New(code.UnknownRequest, "no line tells of %q; the log may have left it out", c.Args().First())
			}
			trace.Write(c.Root().Writer, lines)
			return nil
		},
	}
}

// readLogs returns the lines that concern id in the files, or in standard input
// if there are none.
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
		if closed := file.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}
