package dispatcher_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Guards against a call that is refused as expired because the one answer of the last
// second is that of a slower route with a longer deadline (TestRequestsAtEveryNode).
func TestSlowRouteRefusesNoOther(t *testing.T) {
	slow := contract.WithClass(contract.NewClass("faces", "GET", "/slow", importance.Normal, true, 2*deadline))
	f := newFixture(t, 3, dispatcher.WithContracts(terms(slow)))
	request := get("")
	request.Path = "/slow"
	out := f.offered(f.arrive(request))
	f.now = f.now.Add(deadline + 100*time.Millisecond)
	f.ended(outcome.Complete, outcome.None, f.complete(out)...)
	f.offered(f.arrive(get("")))
}

// Guards against answer times of more routes than the memory is meant for.
func TestRememberedRoutesAreBounded(t *testing.T) {
	f := newFixture(t, 3)
	slow := f.offered(f.arrive(get("")))
	f.now = f.now.Add(400 * time.Millisecond)
	f.complete(slow)
	request := get("")
	request.Timeout = 300 * time.Millisecond
	f.ended(outcome.NotRun, outcome.Expired, f.arrive(request))
	for i := range 4096 {
		other := get("")
		other.Path = "/other" + strconv.Itoa(i)
		f.arrive(other)
	}
	f.offered(f.arrive(request))
}

// Guards against a call of a slow route that is withdrawn and sent elsewhere after the
// patience for quick routes, although its server runs it.
func TestQuickRouteHastensNoSlowCall(t *testing.T) {
	slow := contract.WithClass(contract.NewClass("faces", "GET", "/slow", importance.Normal, true, 2*deadline))
	f := newFixture(t, 3, dispatcher.WithContracts(terms(slow)))
	for range 20 {
		quick := f.offered(f.arrive(get("")))
		f.now = f.now.Add(time.Millisecond)
		f.complete(quick)
	}
	request := get("")
	request.Path = "/slow"
	f.offered(f.arrive(request))
	f.now = f.now.Add(200 * time.Millisecond)
	require.Empty(t, f.Tick(f.now, nil))
}
