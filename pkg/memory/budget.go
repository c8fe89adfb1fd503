package memory

import (
	"fmt"
	"runtime"
	"sync"
)

// Small is the size, in bytes, up to which a message needs no claim. The number of
// such messages is bounded by the connections, which have claims of their own.
const Small = 4 << 10

// Holder is the kind of what a claim is held for.
type Holder uint8

// Holders.
const (
	Connection  Holder = iota // buffers and stacks of a connection, and the header section of its request
	Request                   // body of a request
	Response                  // body of a backend server's response
	Frame                     // message of another node
	Queue                     // frames that wait until another node reads
	Store                     // response of the platform's store
	HolderCount               // number of holders
)

// holderNames are the names of the holders in metrics and logs.
var holderNames = [HolderCount]string{"connection", "request", "response", "frame", "queue", "store"}

// String returns the name of the holder.
func (h Holder) String() string {
	if h >= HolderCount {
		return fmt.Sprintf("holder(%d)", uint8(h))
	}
	return holderNames[h]
}

// Budget bounds the sum of the claims on it. When the sum is reached, it revokes
// claims on content that is still arriving before it refuses others. It is safe
// for concurrent use.
type Budget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	peak     int64
	held     [HolderCount]int64
	arriving map[*account]func() // revocable claims, with what ends their transfer
	garbage  garbage
	revoked  int64
	refused  int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{
		limit: limit, arriving: make(map[*account]func()),
		garbage: garbage{max: max(minGarbage, int64(garbageFraction*float64(limit)))},
	}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Stats describes the use of a budget. Sizes are in bytes.
type Stats struct {
	Used, Peak       int64
	Held             [HolderCount]int64 // by holder
	Revoked, Refused int64              // claims, in total
}

// Stats returns the current use.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Used: b.used, Peak: b.peak, Held: b.held, Revoked: b.revoked, Refused: b.refused}
}

// ExhaustedError reports a claim that does not fit into its budget, or that has
// been revoked in favor of others.
type ExhaustedError struct {
	holder  Holder
	size    int64
	limit   int64
	revoked bool
}

// Error states the holder and the sizes.
func (e *ExhaustedError) Error() string {
	if e.revoked {
		return fmt.Sprintf("memory: claim of %d bytes for a %s revoked, budget of %d bytes", e.size, e.holder, e.limit)
	}
	return fmt.Sprintf("memory: claim of %d bytes for a %s exceeds the budget of %d bytes", e.size, e.holder, e.limit)
}

// IsOversized reports whether the claim exceeds the whole budget, so that it is
// refused however little else is held.
func (e *ExhaustedError) IsOversized() bool { return e.size > e.limit }

// Class is the order in which content that is still arriving is given up.
type Class uint8

// Classes, the first to be given up first.
const (
	// Endless is content whose sender has not announced a length.
	Endless Class = iota
	// Announced is content of an announced length that a backend server sends.
	Announced
	// Unstarted is the body of a request, which cannot run before it is complete.
	Unstarted
	// Fixed is content that is not given up.
	Fixed
)

// account is what a budget knows of a claim.
type account struct {
	budget  *Budget
	holder  Holder
	class   Class
	size    int64
	holders int // users of the content that have not released it
	revoked bool
}

// Claim is the part of a budget that one message holds. A nil claim is unlimited.
// A claim that becomes unreachable is released, so that a path that drops its
// message without a release does not shrink the budget for good.
type Claim struct{ account *account }

// Claim returns an empty claim, or nil if b is nil. If class is not Fixed, the claim
// can be revoked until Complete is called: revoke, which must not block, then ends
// the transfer.
func (b *Budget) Claim(h Holder, class Class, revoke func()) *Claim {
	if b == nil {
		return nil
	}
	a := &account{budget: b, holder: h, class: class, holders: 1}
	c := &Claim{account: a}
	if class == Fixed {
		runtime.AddCleanup(c, func(a *account) { a.release(true) }, a)
		return c
	}
	b.mu.Lock()
	b.arriving[a] = revoke
	b.mu.Unlock()
	return c
}

// Grow adds n bytes to the claim. It returns an *ExhaustedError if the budget has
// no room for them, or if the claim has been revoked.
func (c *Claim) Grow(n int) error { return c.grow(n, false) }

// GrowOrRelease is Grow for content that is useless without the n bytes. A refused
// claim holds nothing from then on. Of several that grow at the same time, the next
// finds the room of the one that was refused.
func (c *Claim) GrowOrRelease(n int) error { return c.grow(n, true) }

func (c *Claim) grow(n int, orRelease bool) error {
	if c == nil {
		return nil
	}
	a := c.account
	b := a.budget
	b.mu.Lock()
	// Frames that wait to be written are claimed under the lock of their link.
	for a.holder != Queue && b.garbage.bytes >= b.garbage.max {
		b.mu.Unlock()
		b.collectGarbage()
		b.mu.Lock()
	}
	var revocations []func()
	fits := !a.revoked
	for fits && b.used+int64(n) > b.limit {
		victim := b.victim(a, int64(n))
		if victim == nil {
			fits = false
			break
		}
		revocations = append(revocations, b.arriving[victim])
		victim.revoke()
	}
	err := &ExhaustedError{holder: a.holder, size: a.size + int64(n), limit: b.limit, revoked: a.revoked}
	if fits {
		a.add(int64(n))
	} else if !a.revoked {
		b.refused++
		if orRelease {
			delete(b.arriving, a)
			a.add(-a.size)
		}
	}
	b.mu.Unlock()
	for _, revoke := range revocations {
		revoke()
	}
	if fits {
		return nil
	}
	return err
}

// Force adds n bytes to the claim, beyond the budget if necessary. It is meant for
// content that has another bound and that the process cannot do without.
func (c *Claim) Force(n int) {
	if c == nil {
		return
	}
	a := c.account
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.add(int64(n))
}

// victim returns the account to be revoked in favor of n more bytes for a, or nil if
// there is none. Of a class the largest goes first. An account goes only if it is
// larger than a would be, or if it is Endless and a is not.
func (b *Budget) victim(a *account, n int64) *account {
	var found *account
	for v := range b.arriving {
		eligible := v.size > a.size+n || v.class == Endless && a.class != Endless && v.size > 0
		if v == a || !eligible {
			continue
		}
		if found == nil || v.class < found.class || v.class == found.class && v.size > found.size {
			found = v
		}
	}
	return found
}

// add changes the size of the account. The caller must hold the lock of the budget.
func (a *account) add(n int64) {
	if n < 0 {
		a.budget.garbage.bytes -= n
	}
	a.size += n
	a.budget.held[a.holder] += n
	a.budget.used += n
	a.budget.peak = max(a.budget.peak, a.budget.used)
}

// revoke takes back what the account holds. The caller must hold the lock of the
// budget.
func (a *account) revoke() {
	a.revoked = true
	a.budget.revoked++
	delete(a.budget.arriving, a)
	a.add(-a.size)
}

// Complete ends the time in which the claim can be revoked. It returns an
// *ExhaustedError if it has been.
func (c *Claim) Complete() error {
	if c == nil {
		return nil
	}
	a := c.account
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.revoked {
		return &ExhaustedError{holder: a.holder, size: a.size, limit: a.budget.limit, revoked: true}
	}
	if _, ok := a.budget.arriving[a]; ok {
		delete(a.budget.arriving, a)
		runtime.AddCleanup(c, func(a *account) { a.release(true) }, a)
	}
	return nil
}

// Retain adds a user of the content, who has to release the claim as well.
func (c *Claim) Retain() {
	if c == nil {
		return
	}
	c.account.budget.mu.Lock()
	defer c.account.budget.mu.Unlock()
	c.account.holders++
}

// Release takes back what the claim holds, if all users have released it.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	c.account.release(false)
}

// Shrink takes n bytes back from the claim.
func (c *Claim) Shrink(n int) {
	if c == nil {
		return
	}
	a := c.account
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.add(-min(int64(n), a.size))
}

// release ends the use of one user, or of all.
func (a *account) release(all bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.holders--
	if a.holders > 0 && !all {
		return
	}
	delete(b.arriving, a)
	a.add(-a.size)
}
