package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/pkg/lint"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/platform/configuration"
)

// checkConfigurationCommand checks a configuration before it is sent to the platform log.
type checkConfigurationCommand struct {
	out    io.Writer
	asJSON bool
}

// Name returns the name of the command.
func (*checkConfigurationCommand) Name() string { return "check-configuration" }

// Synopsis returns a one-line description of the command.
func (*checkConfigurationCommand) Synopsis() string { return "check a configuration before it is sent" }

// Usage returns the usage message.
func (*checkConfigurationCommand) Usage() string {
	return "check-configuration [-json] FILE [IN-FORCE]: reports the faults of the configuration in FILE,\n" +
		"and its differences from that in IN-FORCE. The exit code is 1 if there are faults.\n"
}

// SetFlags registers the flags of the command.
func (c *checkConfigurationCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print the findings as one JSON object")
}

// Execute runs the command.
func (c *checkConfigurationCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 || f.NArg() > 2 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		return subcommands.ExitUsageError
	}
	var inForce *routing.Table
	if f.NArg() == 2 {
		if inForce, err = readConfiguration(f.Arg(1)); err != nil {
			fmt.Fprintln(os.Stderr, "sidecar:", err)
			return subcommands.ExitUsageError
		}
	}
	findings := checkConfiguration(data, inForce)
	if err := c.print(findings); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		return subcommands.ExitFailure
	}
	if faults, _ := count(findings); faults > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// newRandom returns the source of the first choices of routes, of which no check depends.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(0, 0)) }

// readConfiguration reads the configuration in force.
func readConfiguration(path string) (*routing.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	table, err := configuration.Decode(data, newRandom())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return table, nil
}

// checkConfiguration returns the faults of a configuration and its differences from the one
// in force, if there is one.
func checkConfiguration(data []byte, inForce *routing.Table) []lint.Finding {
	var findings []lint.Finding
	invalid := func(text string) {
		findings = append(findings, lint.Finding{Kind: lint.Invalid, Entry: "document", Text: text})
	}
	if size := len(data) + len(configuration.Key) + 1; size > configuration.MaxBytes {
		invalid(fmt.Sprintf("%d bytes as a record, and the platform log takes %d", size, configuration.MaxBytes))
	}
	table, err := configuration.Decode(data, newRandom())
	var rejected *configuration.Error
	if errors.As(err, &rejected) {
		for _, cause := range rejected.Unwrap() {
			invalid(cause.Error())
		}
		return findings
	}
	findings = append(findings, lint.Check(table)...)
	if inForce != nil {
		findings = append(findings, lint.Compare(inForce, table)...)
	}
	return findings
}

// count returns the numbers of faults and of differences.
func count(findings []lint.Finding) (faults, differences int) {
	for _, f := range findings {
		if f.IsFault() {
			faults++
		}
	}
	return faults, len(findings) - faults
}

// print writes the findings.
func (c *checkConfigurationCommand) print(findings []lint.Finding) error {
	faults, differences := count(findings)
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(struct {
			Faults      int            `json:"faults"`
			Differences int            `json:"differences"`
			Findings    []lint.Finding `json:"findings"`
		}{faults, differences, append([]lint.Finding{}, findings...)})
	}
	for _, f := range findings {
		if _, err := fmt.Fprintln(c.out, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(c.out, "faults: %d, differences: %d\n", faults, differences)
	return err
}
