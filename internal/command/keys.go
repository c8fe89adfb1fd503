package command

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/authority"
)

// Names and modes of the files that keysCommand writes.
const (
	authorityFile = "authority.pem"
	publicMode    = 0o644
	privateMode   = 0o600
	folderMode    = 0o755
)

// keysCommand makes an authority and certificates for nodes.
type keysCommand struct{ folder string }

func (*keysCommand) Name() string     { return "keys" }
func (*keysCommand) Synopsis() string { return "make certificates for nodes" }

func (*keysCommand) Usage() string {
	return `keys -out DIR NAME...
Make a new authority and, for each NAME, a certificate and a key that it signs.
Writes authority.pem, NAME.pem and NAME.key. The authority's own key is not
kept, so further nodes need a new set.
`
}

func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "out", "", "folder for the files (required)")
}

func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if c.folder == "" || f.NArg() == 0 {
		return exit(s, &UsageError{reason: "keys: -out and at least one name are required"})
	}
	return exit(s, c.write(f.Args()))
}

func (c *keysCommand) write(names []string) error {
	now := time.Now()
	a, err := authority.New(now)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.folder, folderMode); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.folder, authorityFile), a.PEM(), publicMode); err != nil {
		return err
	}
	for _, name := range names {
		if err := c.issue(a, now, name); err != nil {
			return err
		}
	}
	return nil
}

func (c *keysCommand) issue(a *authority.Authority, now time.Time, name string) error {
	issued, err := a.Issue(now, name)
	if err != nil {
		return err
	}
	certificate, key, err := authority.Encode(issued)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.folder, name+".pem"), certificate, publicMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.folder, name+".key"), key, privateMode)
}
