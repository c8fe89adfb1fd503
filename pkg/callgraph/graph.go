package callgraph

import (
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// horizon is the number of runs after which counts are halved, so that
	// they follow changes of the backend server.
	horizon = 128
	// share is the part of the runs that must make a call for its threshold
	// to hold for all of them. A route that seldom makes a call must not be
	// held back by it.
	share = 0.9
	// least is the number of runs from which on the share is believed.
	least = 8
	// maxRoutes and maxChildren bound the table, whose keys come from callers.
	maxRoutes   = 1024
	maxChildren = 32
)

// Graph holds, for each route of the own service, how often its runs call
// other routes. It is not safe for concurrent use.
type Graph struct {
	routes map[message.Route]*route
}

// route counts the runs of a route and the calls that they made.
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
	if n.runs >= horizon {
		n.halve()
	}
}

func (n *route) halve() {
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
// r make. threshold returns the threshold that a call of a route will meet.
func (g *Graph) Floor(r message.Route, threshold func(message.Route) priority.Priority) priority.Priority {
	n := g.routes[r]
	if n == nil || n.runs < least {
		return 0
	}
	var floor priority.Priority
	for child, calls := range n.children {
		if calls >= share*n.runs {
			floor = max(floor, threshold(child))
		}
	}
	return floor
}

// Calls yields the calls that a run of r makes, with how often on average.
func (g *Graph) Calls(r message.Route, yield func(child message.Route, mean float64)) {
	n := g.routes[r]
	if n == nil || n.runs < least {
		return
	}
	for child, calls := range n.children {
		yield(child, calls/n.runs)
	}
}
