package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/configcheck"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// configurationReport is the result of a check of a stored configuration.
type configurationReport struct {
	// Version is 0 if the document can't be decoded.
	Version int64 `json:"version"`
	// InForce is the version that the document is compared with, 0 if there is none.
	InForce     int64                    `json:"in_force,omitempty"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

func checkConfigurationCommand() *cli.Command {
	return &cli.Command{
		Name:      "configuration",
		Usage:     "check a stored gateway configuration before it is published",
		ArgsUsage: "FILE",
		Description: "Prints a line for each finding, and with --against one for each difference.\n" +
			"The exit code is 2 if there is a finding.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "the configuration in force as a `FILE`"},
			&cli.StringFlag{Name: "platform", Usage: "a gateway's settings `FILE`, which has the names of regions"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return runCheckConfiguration(c) },
	}
}

// runCheckConfiguration prints the report of a file. If there are findings, the error has the code
// code.InvalidDocument.
func runCheckConfiguration(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return code.New(code.InvalidSettings, "check configuration takes one file, not %d", c.Args().Len())
	}
	report, err := checkConfiguration(c)
	if err != nil {
		return err
	}
	if err := printConfigurationReport(c, report); err != nil {
		return err
	}
	if count := len(report.Findings); count > 0 {
		return code.New(code.InvalidDocument, "%d faults were found", count)
	}
	return nil
}

// checkConfiguration returns the report of a file. It returns an error if one of the files for comparison can't be
// used.
func checkConfiguration(c *cli.Command) (*configurationReport, error) {
	var settings *traffic.Settings
	var inForce *traffic.Configuration
	var err error
	if file := c.String("platform"); file != "" {
		if settings, err = platform.LoadSettings(file); err != nil {
			return nil, err
		}
	}
	if file := c.String("against"); file != "" {
		if inForce, err = loadConfiguration(file); err != nil {
			return nil, code.New(code.InvalidDocument, "%s, the configuration in force: %s", filepath.Base(file), code.Of(err).Message)
		}
	}
	report := &configurationReport{Findings: []configcheck.Finding{}, Differences: []configcheck.Difference{}}
	next, err := loadConfiguration(c.Args().First())
	if err != nil {
		report.Findings = append(report.Findings, configcheck.FromError(err))
		return report, nil
	}
	report.Version = next.Version
	report.Findings = append(report.Findings, configcheck.Check(next, settings)...)
	if inForce != nil {
		report.InForce = inForce.Version
		report.Findings = append(report.Findings, configcheck.CheckVersion(next, inForce)...)
		report.Differences = append(report.Differences, configcheck.Compare(inForce, next)...)
	}
	return report, nil
}

// loadConfiguration reads and decodes a stored configuration. Errors have the code code.InvalidDocument.
func loadConfiguration(file string) (*traffic.Configuration, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, code.Wrap(err, code.InvalidDocument, "the configuration can't be read")
	}
	return platform.DecodeConfiguration(raw)
}

func printConfigurationReport(c *cli.Command, report *configurationReport) error {
	w := c.Root().Writer
	if c.Bool("json") {
		encoder := json.NewEncoder(w)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintln(w, finding)
	}
	for _, difference := range report.Differences {
		fmt.Fprintln(w, difference)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintln(w, "no fault was found")
	}
	return nil
}
