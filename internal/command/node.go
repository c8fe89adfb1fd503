package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/keys"
	"github.com/papayapath/papayapath/internal/operator"
	"github.com/papayapath/papayapath/internal/runtime"
	"github.com/papayapath/papayapath/internal/settings"
	"github.com/papayapath/papayapath/internal/trace"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// stopTimeout bounds a graceful stop. Calls that last longer are cut,
	// and their callers can't know whether they ran.
	stopTimeout = 30 * time.Second
	// reloadInterval is how often the files of keys are read again.
	reloadInterval = time.Minute
	// memoryLimit makes the garbage collector run earlier when the heap nears
	// 256 MB, which is what a node may use. Full tables take 157 MB
	// (docs/CAPACITY.md). GOMEMLIMIT takes precedence.
	memoryLimit = 224 << 20
)

// nodeCommand runs a node until it is interrupted.
type nodeCommand struct{ settings string }

func (*nodeCommand) Name() string     { return "node" }
func (*nodeCommand) Synopsis() string { return "run the node of a backend server" }

func (*nodeCommand) Usage() string {
	return `node -settings FILE
Run a node until SIGINT or SIGTERM, and then stop without cutting calls.
`
}

func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file, JSON with comments (required)")
}

func (c *nodeCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if err := noArguments(f); err != nil {
		return exit(s, err)
	}
	if c.settings == "" {
		return exit(s, &UsageError{reason: "node: -settings is required"})
	}
	return exit(s, c.run(ctx, s))
}

func (c *nodeCommand) run(ctx context.Context, s Streams) error {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	own, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	log, err := newLogger(s, own.Level)
	if err != nil {
		return err
	}
	ring, err := keys.Load(own.Keys.Certificate, own.Keys.Key, own.Keys.Authority)
	if err != nil {
		return err
	}
	tracer, err := trace.NewOTLP(ctx, own.Peers, own.Trace)
	if err != nil {
		return err
	}
	r, err := runtime.Start(*own, ring.Config(), runtime.WithTracer(tracer),
		runtime.WithNotify(func(e node.Event) { logEvent(log, e) }))
	if err != nil {
		return err
	}
	console, err := operator.Listen(own.Operators, own.Token, r)
	if err != nil {
		r.Kill()
		return err
	}
	event.NodeStarted.Log(log, logrus.Fields{"callers": r.Callers(), "peers": r.Self().Address()})
	awaitStop(ctx, ring, log)
	return stop(r, console)
}

// awaitStop returns when ctx ends. Until then it follows changes of the keys.
func awaitStop(ctx context.Context, ring *keys.Keyring, log *logrus.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := ring.Reload(); err != nil {
				event.KeyReloadFailed.Log(log, logrus.Fields{"detail": err.Error()})
			}
		case <-ctx.Done():
			return
		}
	}
}

func stop(r *runtime.Runtime, console *operator.Console) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := r.Stop(ctx)
	console.Close(ctx)
	return err
}

func newLogger(s Streams, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(s.Err)
	log.SetFormatter(&logrus.JSONFormatter{})
	if level == "" {
		return log, nil
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, &UsageError{reason: fmt.Sprintf("settings: level %q is none of debug, info, warn, error", level)}
	}
	log.SetLevel(parsed)
	return log, nil
}

// events maps what a node reports to the numbered events.
var events = map[node.EventKind]event.Event{
	node.MemberChanged:    event.MemberChanged,
	node.VersionChanged:   event.VersionChanged,
	node.RecordRejected:   event.RecordRejected,
	node.BackendAnnounced: event.BackendAnnounced,
	node.BackendLost:      event.BackendLost,
	node.EpochChanged:     event.EpochChanged,
	node.BecameReady:      event.NodeReady,
}

func logEvent(log *logrus.Logger, e node.Event) {
	known, ok := events[e.Kind]
	if !ok {
		known = event.Unnumbered
	}
	known.Log(log, logrus.Fields{"detail": e.Detail})
}
