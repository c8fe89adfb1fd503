package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/internal/publication"
	"github.com/papayapath/papayapath/pkg/declarations"
)

// Environment variables that stand in for flags.
const (
	logVariable      = "PAPAYAPATH_LOG"
	operatorVariable = "PAPAYAPATH_OPERATOR"
)

// defaultTimeout bounds a command that uses the platform log.
const defaultTimeout = 15 * time.Second

// logFlags are the flags of commands that use the platform log.
type logFlags struct {
	address string
	timeout time.Duration
}

func (l *logFlags) set(f *flag.FlagSet) {
	f.StringVar(&l.address, "log", os.Getenv(logVariable), "base URL of the platform log; default from "+logVariable)
	f.DurationVar(&l.timeout, "timeout", defaultTimeout, "time limit for the log")
}

// open returns a publisher, and a context that ends with the time limit.
func (l *logFlags) open(ctx context.Context) (*publication.Publisher, context.Context, context.CancelFunc, error) {
	if l.address == "" {
		return nil, nil, nil, &UsageError{reason: "the address of the log is required: -log or " + logVariable}
	}
	client, err := platform.New(l.address)
	if err != nil {
		return nil, nil, nil, err
	}
	limited, cancel := context.WithTimeout(ctx, l.timeout)
	return publication.New(client), limited, cancel, nil
}

// exitPublication prints err and returns the exit code that it stands for.
func exitPublication(s Streams, err error) subcommands.ExitStatus {
	var unknown *publication.UnknownError
	var conflict *declarations.ConflictError
	var stale *declarations.StaleError
	status := exit(s, err)
	switch {
	case errors.As(err, &unknown):
		_, _ = fmt.Fprintf(s.Err, "To find out: papayapath watch -record %s\n", unknown.Record())
		_, _ = fmt.Fprintf(s.Err, "To send it again, which is safe: papayapath publish -record %s DIR\n", unknown.Record())
		return ExitUnknown
	case errors.As(err, &conflict), errors.As(err, &stale):
		return ExitConflict
	}
	return status
}
