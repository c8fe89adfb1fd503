package experiment

import (
	"context"
	"slices"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
)

// All runs each variant with each deployment. The deployments run concurrently
// and the variants sequentially. The figures are sorted by deployment and then
// by the given order of variants.
func All(ctx context.Context, deployments []*deployment.Deployment, variants []Variant, options ...Option) ([]figures.Result, error) {
	var all []figures.Result
	for _, v := range variants {
		group := pool.NewWithResults[figures.Result]().WithContext(ctx).WithCancelOnError()
		for _, d := range deployments {
			group.Go(func(ctx context.Context) (figures.Result, error) { return New(d, v, options...).Run(ctx) })
		}
		results, err := group.Wait()
		if err != nil {
			return nil, err
		}
		all = append(all, results...)
	}
	slices.SortStableFunc(all, func(a, b figures.Result) int { return strings.Compare(a.Deployment, b.Deployment) })
	return all, nil
}
