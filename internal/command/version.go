package command

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// version prints the version of the program.
type version struct{}

func (*version) Name() string           { return "version" }
func (*version) Synopsis() string       { return "print the version of the program" }
func (*version) Usage() string          { return "version\nPrint the version of the program.\n" }
func (*version) SetFlags(*flag.FlagSet) {}

func (*version) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if err := noArguments(f); err != nil {
		return exit(s, err)
	}
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	_, _ = fmt.Fprintln(s.Out, "papayapath", text)
	return subcommands.ExitSuccess
}
