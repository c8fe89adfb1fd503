package mesh

import (
	"context"
	"time"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/experiment"
	"github.com/papayapath/papayapath/internal/lab/pause"
	"github.com/papayapath/papayapath/pkg/node"
)

// Name is the name of the variant in the figures.
const Name = "papayapath"

// ownerTakeoverDelay is how long the owners of a new table wait before they
// run keys, plus a margin (section 9 of the design).
const ownerTakeoverDelay = 3 * time.Second

type variant struct{}

// Variant returns the experiment variant that runs real nodes.
func Variant() experiment.Variant { return variant{} }

// Name returns the name of the variant in the figures.
func (variant) Name() string { return Name }

// Start starts one node for each backend server and publishes the contracts.
// WaitReady of the returned mesh waits until all nodes serve.
func (variant) Start(ctx context.Context, d *deployment.Deployment) (experiment.Mesh, error) {
	m, err := Start(ctx, len(d.Placements()))
	if err != nil {
		return experiment.Mesh{}, err
	}
	if err := m.Publish(ctx, d.Contracts()...); err != nil {
		_ = m.Stop()
		return experiment.Mesh{}, err
	}
	mesh := experiment.Mesh{Stop: m.Stop}
	for _, r := range m.Nodes() {
		mesh.CallerAddresses = append(mesh.CallerAddresses, r.Callers())
		mesh.BackendAddresses = append(mesh.BackendAddresses, r.Egress())
	}
	mesh.WaitReady = func(ctx context.Context) error {
		err := m.WaitUntil(ctx, func(n *node.Node) bool { return n.Serving(len(d.Placements())) })
		if err != nil {
			return err
		}
		return pause.For(ctx, ownerTakeoverDelay)
	}
	return mesh, nil
}
