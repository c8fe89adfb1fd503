package callgraph_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/callgraph"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	browse   message.Route = 1
	calendar message.Route = 2
	image    message.Route = 3
)

func thresholds(r message.Route) priority.Priority {
	return map[message.Route]priority.Priority{calendar: 300, image: 700}[r]
}

// Guards against callers that do not learn of an overload further downstream,
// and against a route limited by a call that few of its runs make.
func TestFloorFollowsFrequentCalls(t *testing.T) {
	g := callgraph.New()
	require.Zero(t, g.Floor(browse, thresholds))
	for i := range 100 {
		g.Run(browse)
		g.Call(browse, calendar)
		if i%4 == 0 {
			g.Call(browse, image)
		}
	}
	require.Equal(t, priority.Priority(300), g.Floor(browse, thresholds))
}

// Guards against calls that still count long after the backend server stopped
// making them.
func TestFloorDecays(t *testing.T) {
	g := callgraph.New()
	for range 1000 {
		g.Run(browse)
		g.Call(browse, calendar)
	}
	for range 200 {
		g.Run(browse)
	}
	require.Zero(t, g.Floor(browse, thresholds))
}

// Guards against a table that callers can grow without bound.
func TestGraphIsBounded(t *testing.T) {
	g := callgraph.New()
	for r := range message.Route(100_000) {
		g.Run(r)
		g.Call(browse, r)
	}
	require.Zero(t, g.Floor(browse, thresholds))
}

func BenchmarkFloor(b *testing.B) {
	g := callgraph.New()
	for range 100 {
		g.Run(browse)
		g.Call(browse, calendar)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Floor(browse, thresholds)
	}
}
