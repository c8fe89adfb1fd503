package experiment

import (
	"context"

	"github.com/papayapath/papayapath/internal/lab/deployment"
)

// Variant is a type of proxy between callers and backend servers.
type Variant interface {
	// Name returns the name of the variant in the figures.
	Name() string
	// Start starts one proxy for each of d.Placements, and any other processes of
	// the variant. It returns when the proxies accept calls and announcements.
	// They run until ctx ends or the mesh is stopped.
	Start(ctx context.Context, d *deployment.Deployment) (Mesh, error)
}

// Mesh is a set of running proxies.
type Mesh struct {
	CallerAddresses  []string     // HTTP addresses for callers
	BackendAddresses []string     // HTTP addresses for the backend servers, in the order of Placements
	Stop             func() error // stops the proxies and waits until they have ended
	// WaitReady waits until all proxies know all announced servers. It may be nil.
	WaitReady func(ctx context.Context) error
}
