package program

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/platform/soak"
)

const (
	folderMode   = 0o700
	scheduleMode = 0o600
)

// soakCommand plays stops, pauses and crashes of real node processes.
type soakCommand struct {
	program          string
	folder           string
	faults           string
	format           string
	replay           string
	seed             uint64
	seeds            int
	ignoresDeadlines bool
}

// Name returns the name of the subcommand.
func (*soakCommand) Name() string { return "soak" }

// Synopsis describes the subcommand in one line.
func (*soakCommand) Synopsis() string {
	return "play stops, pauses and crashes of real node processes, and judge what is seen outside"
}

// Usage describes the arguments.
func (*soakCommand) Usage() string {
	return "soak -node PROGRAM [-seed N] [-seeds N] [-faults stops|interruptions] [-ignore-deadlines]\n" +
		"     [-replay FILE] [-folder FOLDER] [-format text|json]\n" +
		"Play the schedule of each seed, or the one in FILE, for about 20 s with up to six nodes.\n" +
		"Settings and logs of the nodes are in FOLDER, and the schedule of each play that breaks a\n" +
		"rule. The exit code is 1 if a rule is broken.\n"
}

// SetFlags declares the arguments.
func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.program, "node", "", "program of the node")
	f.StringVar(&c.folder, "folder", "soak", "folder for settings, logs and schedules")
	f.StringVar(&c.faults, "faults", "stops", "stops: planned stops and releases; interruptions: pauses and crashes")
	f.StringVar(&c.format, "format", "text", "text or json")
	f.StringVar(&c.replay, "replay", "", "file with a schedule to be played in place of seeds")
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds")
	f.BoolVar(&c.ignoresDeadlines, "ignore-deadlines", false, "some servers ignore the deadlines that they are handed")
}

// Execute plays the schedules.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.play(ctx))
}

func (c *soakCommand) play(ctx context.Context) error {
	if c.format != "text" && c.format != "json" {
		return &usageError{flag: "format", reason: "neither text nor json"}
	}
	if c.program == "" {
		return &usageError{flag: "node", reason: "the program of the node is needed"}
	}
	var options []soak.Option
	switch c.faults {
	case "stops":
	case "interruptions":
		options = append(options, soak.WithInterruptions())
	default:
		return &usageError{flag: "faults", reason: "neither stops nor interruptions"}
	}
	if c.ignoresDeadlines {
		options = append(options, soak.WithIgnoredDeadlines())
	}
	if c.replay != "" {
		s, err := readSchedule(c.replay)
		if err != nil {
			return err
		}
		return c.playSchedule(0, s)
	}
	var broken error
	for i := range uint64(c.seeds) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := c.playSchedule(c.seed+i, soak.Draw(c.seed+i, options...))
		var rules *brokenRulesError
		switch {
		case errors.As(err, &rules):
			broken = err
		case err != nil:
			return err
		}
	}
	return broken
}

// playSchedule plays a schedule and prints its report. It returns a *brokenRulesError
// if a rule was broken.
func (c *soakCommand) playSchedule(seed uint64, s soak.Schedule) error {
	folder := filepath.Join(c.folder, fmt.Sprintf("%s-%d", c.faults, seed))
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	w, err := soak.New(c.program, folder, s.Machines...)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := w.Play(s); err != nil {
		return err
	}
	r := soak.NewReport(seed, w.Records())
	write := r.Text
	if c.format == "json" {
		write = r.JSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if len(r.Breaches()) == 0 {
		return nil
	}
	file := filepath.Join(folder, "schedule.json")
	if err := writeSchedule(file, s); err != nil {
		return err
	}
	return &brokenRulesError{count: len(r.Breaches()), schedule: file}
}

// brokenRulesError reports a play in which rules were broken.
type brokenRulesError struct {
	count    int
	schedule string // file
}

// Error names the file that plays it again.
func (e *brokenRulesError) Error() string {
	return fmt.Sprintf("rules are broken, %d times; -replay %s plays it again", e.count, e.schedule)
}

// scheduleError reports a file that is no schedule.
type scheduleError struct {
	file string
	err  error
}

// Error names the file.
func (e *scheduleError) Error() string { return fmt.Sprintf("schedule %s: %s", e.file, e.err) }

// Unwrap returns the cause.
func (e *scheduleError) Unwrap() error { return e.err }

var errNoMachines = errors.New("no machines")

func readSchedule(file string) (soak.Schedule, error) {
	var s soak.Schedule
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err == nil && len(s.Machines) == 0 {
		err = errNoMachines
	}
	if err != nil {
		return s, &scheduleError{file: file, err: err}
	}
	return s, nil
}

func writeSchedule(file string, s soak.Schedule) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, scheduleMode)
}
