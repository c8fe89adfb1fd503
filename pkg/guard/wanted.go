package guard

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/ownership"
)

// wanted returns the owners of the table that this instance has to append, or
// false if it has none to append.
func (g *Guard) wanted(now time.Time) ([]instance.ID, bool) {
	switch {
	case !g.members.known:
		return nil, false
	case g.table.Vacant():
		return g.first()
	case !g.table.Known():
		return nil, false
	case g.isOwner():
		return g.successor(now)
	}
	return g.replacement()
}

// first returns the owners of the first table of the service. In a new log
// generation the owners of the lost table may still run calls on promises, so
// only one of them, or an operator, may start again.
func (g *Guard) first() ([]instance.ID, bool) {
	allowed := g.table.Released() || g.heir || g.table.Generation() <= g.generation
	return g.include(nil), allowed
}

// successor returns the table that follows from the live instances: owners
// that died leave, restarted and new ones join. An unchanged table is appended
// again in time before the log drops it.
func (g *Guard) successor(now time.Time) ([]instance.ID, bool) {
	current := g.table.Owners().IDs()
	next := slices.DeleteFunc(slices.Clone(current), func(id instance.ID) bool {
		return !slices.Contains(g.members.ids, id)
	})
	next = g.include(next)
	slices.SortFunc(next, instance.ID.Compare)
	due := !now.Before(g.change.tableSeen.Add(g.retention / retentionParts))
	return next, due || !slices.Equal(next, current)
}

// replacement returns the table in which this instance takes the place of its
// older incarnation. It is used only if no owner lives that could sponsor it.
func (g *Guard) replacement() ([]instance.ID, bool) {
	owners := g.table.Owners()
	old, ok := owners.Replaced(g.self)
	if !ok {
		return nil, false
	}
	ids := owners.IDs()
	for i, id := range ids {
		if slices.Contains(g.members.ids, id) {
			return nil, false
		}
		if id == old {
			ids[i] = g.self
		}
	}
	return ids, true
}

// include adds the live instances to ids, up to the largest table.
func (g *Guard) include(ids []instance.ID) []instance.ID {
	if !slices.Contains(ids, g.self) {
		ids = append(ids, g.self)
	}
	for _, id := range g.members.ids {
		_, replaced := replacedBy(g.members.ids, id)
		if len(ids) < ownership.MaxOwners && !replaced && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
