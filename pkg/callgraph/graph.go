package callgraph

import (
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// decayRuns is the number of runs after which the counts are halved, so
	// that they follow changes of the backend server.
	decayRuns = 128
	// minCallFraction is the fraction of the runs of a route that must make a
	// call for its threshold to apply to the route. A call that few runs make
	// must not cause the others to be rejected.
	minCallFraction = 0.9
	// minRuns is the number of runs below which a route has no estimate.
	minRuns = 8
	// maxRoutes and maxChildren bound the table, whose keys callers choose.
	maxRoutes   = 1024
	maxChildren = 32
)

// Graph counts, for each route of the local service, how often its runs call
// other routes. It is not safe for concurrent use.
type Graph struct {
	routes map[message.Route]*route
}

// route holds the decayed numbers of runs and of the calls that they made.
type route struct {
	runs     float64
	children map[message.Route]float64
}

// New returns an empty graph.
func New() *Graph { return &Graph{routes: make(map[message.Route]*route)} }

// Run records that a run of r starts.
func (g *Graph) Run(r message.Route) {
	n := g.routes[r]
	if n == nil {
		if len(g.routes) >= maxRoutes {
			clear(g.routes)
		}
		n = &route{children: make(map[message.Route]float64)}
		g.routes[r] = n
	}
	n.runs++
	if n.runs >= decayRuns {
		n.decay()
	}
}

// decay halves all counts.
func (n *route) decay() {
	n.runs /= 2
	for child, calls := range n.children {
		n.children[child] = calls / 2
	}
}

// Call records that a run of r calls child.
func (g *Graph) Call(r, child message.Route) {
	n := g.routes[r]
	if n == nil {
		return
	}
	if _, ok := n.children[child]; !ok && len(n.children) >= maxChildren {
		return
	}
	n.children[child]++
}

// Floor returns the largest threshold among the calls that nearly all runs of
// r make, or 0 if r has too few runs. threshold returns the admission threshold
// of a route.
func (g *Graph) Floor(r message.Route, threshold func(message.Route) priority.Priority) priority.Priority {
	n := g.routes[r]
	if n == nil || n.runs < minRuns {
		return 0
	}
	var floor priority.Priority
	for child, calls := range n.children {
		if calls >= minCallFraction*n.runs {
			floor = max(floor, threshold(child))
		}
	}
	return floor
}

// Calls yields the calls that runs of r make, with the mean number per run.
func (g *Graph) Calls(r message.Route, yield func(child message.Route, mean float64)) {
	n := g.routes[r]
	if n == nil || n.runs < minRuns {
		return
	}
	for child, calls := range n.children {
		yield(child, calls/n.runs)
	}
}
