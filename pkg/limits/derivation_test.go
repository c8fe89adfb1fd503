package limits_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/limits"
)

func withClass(service string, level importance.Level, deadline time.Duration) contract.Option {
	return contract.WithClass(contract.NewClass(service, "", "/", level, true, deadline))
}

// Guards against limits that are too low because calls, customers or retries
// are counted only once, or too high because a customer's rate is counted for
// each of its calls.
func TestDerive(t *testing.T) {
	d := limits.Derive([]*contract.Contract{
		contract.New("quimper", contract.WithRate(20, 40), contract.WithRetries(1),
			withClass("proofs", importance.Background, 4*time.Second)),
		contract.New("brest", contract.WithRate(10, 15), contract.WithRetries(3),
			withClass("proofs", importance.Normal, 2*time.Second),
			withClass("proofs", importance.Background, time.Second),
			withClass("calendars", importance.Critical, time.Second)),
	})
	require.Equal(t, []limits.Customer{
		{Name: "brest", Rate: 10, Burst: 15, Retries: 3, MaxRunsPerService: 4, MaxCallRate: 40},
		{Name: "quimper", Rate: 20, Burst: 40, Retries: 1, MaxRunsPerService: 2, MaxCallRate: 40},
	}, d.Customers())
	require.Equal(t, []limits.Service{
		{Name: "calendars", RateByImportance: [4]float64{3: 10}, TotalRate: 10, Burst: 15, Concurrency: 10, Deadline: time.Second},
		{Name: "proofs", RateByImportance: [4]float64{0: 30, 1: 10}, TotalRate: 30, Burst: 55, Concurrency: 100, Deadline: 4 * time.Second},
	}, d.Services())
}

// Guards against a panic without contracts.
func TestDeriveWithoutContracts(t *testing.T) {
	require.Empty(t, limits.Derive(nil).Services())
}
