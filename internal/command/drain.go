package command

import (
	"context"
	"flag"
	"net/http"
	"os"

	"github.com/google/subcommands"
)

// tokenVariable is the environment variable that holds the operators' token.
// An argument would show up in lists of processes.
const tokenVariable = "PAPAYAPATH_TOKEN"

// drain makes a node refuse new work.
type drain struct{}

func (*drain) Name() string     { return "drain" }
func (*drain) Synopsis() string { return "make a node refuse new work" }

func (*drain) Usage() string {
	return `drain ADDRESS
Make the node whose HTTP for operators is at ADDRESS refuse new work for its
backend server. Calls that run or wait are finished. The operators' token is
taken from the environment variable PAPAYAPATH_TOKEN.
`
}

func (*drain) SetFlags(*flag.FlagSet) {}

func (*drain) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if f.NArg() != 1 {
		return exit(s, &UsageError{reason: "drain: one address is required"})
	}
	response, err := askConsole(ctx, http.MethodPost, f.Arg(0), "/drain", os.Getenv(tokenVariable))
	if err != nil {
		return exit(s, err)
	}
	return exit(s, response.Body.Close())
}
