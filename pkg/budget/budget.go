package budget

// Budget is the part of a request's retries that one node may spend. The
// allocation of a child is deducted from the budget, so that all budgets of a
// request together never exceed the contract's bound. The zero value allows no
// retry.
type Budget struct {
	remaining int
}

// New returns a budget of n retries. A negative n counts as zero.
func New(n int) *Budget { return &Budget{remaining: max(n, 0)} }

// Remaining returns the number of retries that are neither spent nor allocated.
func (b *Budget) Remaining() int { return b.remaining }

// Take spends one retry. It returns false, and spends nothing, if none remains.
func (b *Budget) Take() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Allocate deducts and returns the allocation of one child: half of the
// remaining retries, rounded up. The rest stays for further children and for
// the node's own retries.
func (b *Budget) Allocate() int {
	n := (b.remaining + 1) / 2
	b.remaining -= n
	return n
}

// Return adds the unused retries of a child to the budget. The number comes
// from another node, so it is clamped to between zero and the allocation.
func (b *Budget) Return(unused, allocated int) {
	b.remaining += min(max(unused, 0), allocated)
}
