package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/published"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/router/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings files and published documents",
		Description: "Each fault is printed with its number, the file and the JSON path.\n" +
			"The exit code is 2 if there is a fault.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Local: true, Usage: "a settings `FILE`; may be given several times"},
			&cli.StringSliceFlag{Name: "platform", Local: true, Usage: "a gateway's settings `FILE`; may be given several times"},
			&cli.StringSliceFlag{Name: "configuration", Local: true, Usage: "a stored gateway configuration as a `FILE`; may be given several times"},
			&cli.StringFlag{Name: "published", Local: true, Usage: "a `DIR` with workspaces/NAME/template.json, workspaces/NAME/parameters.json, models/NAME.json and vms.json"},
		},
		Commands: []*cli.Command{checkConfigurationCommand()},
		Action:   func(_ context.Context, c *cli.Command) error { return runCheck(c) },
	}
}

// runCheck checks what the flags name. Faults that it found have the code code.InvalidDocument.
func runCheck(c *cli.Command) error {
	if !c.IsSet("settings") && !c.IsSet("platform") && !c.IsSet("configuration") && !c.IsSet("published") {
		return code.New(code.InvalidSettings, "nothing to check: give --settings, --platform, --configuration or --published")
	}
	faults := checkSettings(c, c.StringSlice("settings"))
	faults += checkFiles(c, c.StringSlice("platform"), func(raw []byte) error {
		_, err := platform.ParseSettings(raw)
		return err
	})
	faults += checkFiles(c, c.StringSlice("configuration"), func(raw []byte) error {
		_, err := platform.DecodeConfiguration(raw)
		return err
	})
	found, err := checkPublished(c, c.String("published"))
	if err != nil {
		return err
	}
	faults += found
	if faults > 0 {
		return code.New(code.InvalidDocument, "%d faults were found", faults)
	}
	fmt.Fprintln(c.Root().Writer, "no fault was found")
	return nil
}

// checkPublished prints the faults of the published documents in a directory, "" for none, and returns
// their number.
func checkPublished(c *cli.Command, dir string) (int, error) {
	if dir == "" {
		return 0, nil
	}
	found, err := published.Check(dir)
	if err != nil {
		return 0, err
	}
	for _, fault := range found {
		fmt.Fprintf(c.Root().Writer, "%s: %v\n", fault.File, fault.Error)
	}
	return len(found), nil
}

// checkFiles prints the faults that check finds in files and returns their number.
func checkFiles(c *cli.Command, files []string, check func([]byte) error) int {
	faults := 0
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err == nil {
			err = check(raw)
		}
		if err != nil {
			fmt.Fprintf(c.Root().Writer, "%s: %v\n", filepath.Base(file), err)
			faults++
		}
	}
	return faults
}

// checkSettings prints the faults of router settings, each file alone and all as one fleet,
// and returns their number.
func checkSettings(c *cli.Command, files []string) int {
	faults := 0
	var loaded []*settings.Router
	for _, file := range files {
		router, err := settings.Load(file)
		if err != nil {
			fmt.Fprintf(c.Root().Writer, "%s: %v\n", filepath.Base(file), err)
			faults++
			continue
		}
		router.Path = filepath.Base(file)
		loaded = append(loaded, router)
	}
	if err := settings.CheckFleet(loaded); err != nil {
		fmt.Fprintln(c.Root().Writer, err)
		faults++
	}
	return faults
}
