package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/settings"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/limits"
)

// check looks for faults in contract and settings files.
type check struct{}

func (*check) Name() string           { return "check" }
func (*check) Synopsis() string       { return "look for faults in contracts and settings" }
func (*check) SetFlags(*flag.FlagSet) {}

func (*check) Usage() string {
	return `check FILE...
Report every fault in contract and settings files, with file, line and field.
The kind of a file is recognized by its fields. If there is no fault, print the
limits that follow from the contracts.
`
}

func (*check) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if f.NArg() == 0 {
		return exit(s, &UsageError{reason: "check: at least one file is required"})
	}
	var contracts []*contract.Contract
	status := subcommands.ExitSuccess
	for _, file := range f.Args() {
		c, err := checkFile(file)
		if err != nil {
			_, _ = fmt.Fprintln(s.Err, err)
			status = subcommands.ExitFailure
		}
		if c != nil {
			contracts = append(contracts, c)
		}
	}
	if status == subcommands.ExitSuccess && len(contracts) > 0 {
		return exit(s, showLimits(s.Out, limits.Derive(contracts)))
	}
	return status
}

// checkFile returns the contract in a file, or nil if it holds settings.
func checkFile(file string) (*contract.Contract, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	fields := document.Fields(data)
	if countFields[settings.Settings](fields) > countFields[contract.Document](fields) {
		_, err := document.Decode[settings.Settings](file, data)
		return nil, err
	}
	d, err := document.Decode[contract.Document](file, data)
	if err != nil {
		return nil, err
	}
	return contract.FromDocument(d), nil
}

// countFields returns how many of the names are fields of T.
func countFields[T any](names []string) int {
	count := 0
	t := reflect.TypeFor[T]()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		for _, n := range names {
			if n == name {
				count++
			}
		}
	}
	return count
}

func showLimits(out io.Writer, d *limits.Derivation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "CUSTOMER\tRATE\tBURST\tRETRIES\tRUNS\tLOAD")
	for _, c := range d.Customers() {
		_, _ = fmt.Fprintf(w, "%s\t%g/s\t%d\t%d\t%d\t%g/s\n", c.Name, c.Rate, c.Burst, c.Retries, c.MaxRunsPerService, c.MaxCallRate)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out)
	_, _ = fmt.Fprint(w, "SERVICE")
	for level := limits.ImportanceLevels - 1; level >= 0; level-- {
		_, _ = fmt.Fprintf(w, "\t%s", strings.ToUpper(importance.Level(level).String()))
	}
	_, _ = fmt.Fprintln(w, "\tTOTAL\tBURST\tCONCURRENCY\tDEADLINE")
	for _, s := range d.Services() {
		_, _ = fmt.Fprint(w, s.Name)
		for level := limits.ImportanceLevels - 1; level >= 0; level-- {
			_, _ = fmt.Fprintf(w, "\t%g/s", s.RateByImportance[level])
		}
		_, _ = fmt.Fprintf(w, "\t%g/s\t%d\t%.0f\t%v\n", s.TotalRate, s.Burst, s.Concurrency, s.Deadline.Round(time.Millisecond))
	}
	return w.Flush()
}
