package experiment

import (
	"context"

	"github.com/papayapath/papayapath/internal/lab/deployment"
)

// Variant is a kind of proxy between callers and backend servers.
type Variant interface {
	// Name returns the name in the figures.
	Name() string
	// Start starts one proxy for each of d.Placements, and whatever else the
	// variant needs. It returns when the proxies can take calls and
	// announcements. They run until ctx ends or the mesh is stopped.
	Start(ctx context.Context, d *deployment.Deployment) (Mesh, error)
}

// Mesh is a set of running proxies.
type Mesh struct {
	CallerAddresses  []string     // addresses of HTTP for callers
	BackendAddresses []string     // addresses of HTTP for the backend servers, in the order of Placements
	Stop             func() error // ends the proxies and waits for them
	// WaitReady waits until the servers that announced themselves are known to
	// all proxies. It may be nil.
	WaitReady func(ctx context.Context) error
}
