package experiment

import (
	"context"
	"slices"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
)

// All runs each variant with each deployment, the deployments side by side
// and the variants one after the other. It returns the figures sorted by
// deployment, and by variant in the order given.
func All(ctx context.Context, deployments []*deployment.Deployment, variants []Variant, options ...Option) ([]figures.Result, error) {
	var all []figures.Result
	for _, v := range variants {
		group := pool.NewWithResults[figures.Result]().WithContext(ctx).WithCancelOnError()
		for _, d := range deployments {
			group.Go(func(ctx context.Context) (figures.Result, error) { return New(d, v, options...).Run(ctx) })
		}
		some, err := group.Wait()
		if err != nil {
			return nil, err
		}
		all = append(all, some...)
	}
	slices.SortStableFunc(all, func(a, b figures.Result) int { return strings.Compare(a.Deployment, b.Deployment) })
	return all, nil
}
