package experiment

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/naive"
)

// naiveVariant is the baseline variant.
type naiveVariant struct{}

// Naive returns the variant with the proxies of package naive.
func Naive() Variant { return naiveVariant{} }

// Name returns the name of the variant in the figures.
func (naiveVariant) Name() string { return "naive" }

// Start starts one proxy for each backend server. It returns a
// *loopback.ListenError if a port can't be opened.
func (naiveVariant) Start(ctx context.Context, d *deployment.Deployment) (Mesh, error) {
	ctx, cancel := context.WithCancel(ctx)
	group := pool.New().WithErrors()
	mesh := Mesh{Stop: func() error {
		cancel()
		return group.Wait()
	}}
	table := naive.NewRegistry()
	for range d.Placements() {
		callers, backend, err := listen()
		if err != nil {
			_ = mesh.Stop()
			return Mesh{}, err
		}
		mesh.CallerAddresses = append(mesh.CallerAddresses, callers.Address())
		mesh.BackendAddresses = append(mesh.BackendAddresses, backend.Address())
		group.Go(func() error { return naive.New(table).Serve(ctx, callers, backend) })
	}
	return mesh, nil
}

// listen opens the two listeners of a proxy.
func listen() (callers, backend *loopback.Listener, err error) {
	if callers, err = loopback.Listen(); err != nil {
		return nil, nil, err
	}
	if backend, err = loopback.Listen(); err != nil {
		callers.CloseAll()
		return nil, nil, err
	}
	return callers, backend, nil
}
