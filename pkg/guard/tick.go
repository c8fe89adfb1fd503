package guard

import "time"

// TickInterval is how often Tick should be called.
const TickInterval = 50 * time.Millisecond

// Tick returns what has to be done now. The slice is valid until the next call.
func (g *Guard) Tick(now time.Time) []Effect {
	g.effects = g.effects[:0]
	g.ledger.Sweep(now)
	g.askLog(now)
	g.askTable(now)
	g.askPromises(now)
	g.changeTable(now)
	return g.effects
}
