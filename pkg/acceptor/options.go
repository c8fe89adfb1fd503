package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/quarantine"
)

// Option changes a default of New.
type Option func(*Acceptor)

// WithGuard sets the check for calls that must not run twice. Without a guard
// such calls are refused.
func WithGuard(g Guard) Option { return func(a *Acceptor) { a.guard = g } }

// WithQuarantine shares a table of suspects with the rest of the node.
func WithQuarantine(q *quarantine.Quarantine) Option {
	return func(a *Acceptor) { a.quarantine = q }
}

// WithPatience sets how long an admitted call may wait in the queue.
func WithPatience(d time.Duration) Option { return func(a *Acceptor) { a.patience = d } }
