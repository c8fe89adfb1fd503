package budget

// Budget is the part of a request's retries that one node may spend. What is
// allotted to a child leaves the budget, so that all budgets of a request
// together never exceed the contract's bound. The zero value allows no retry.
type Budget struct {
	left int
}

// New returns a budget of n retries. A negative n counts as zero.
func New(n int) *Budget { return &Budget{left: max(n, 0)} }

// Remaining returns the retries that are neither spent nor allotted.
func (b *Budget) Remaining() int { return b.left }

// Take spends one retry. It reports false, and spends nothing, if none is
// left.
func (b *Budget) Take() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Allocate deducts and returns the allotment of one child: half of what is left,
// rounded up. The rest stays for further children and for retries.
func (b *Budget) Allocate() int {
	n := (b.left + 1) / 2
	b.left -= n
	return n
}

// Return takes back what a child did not spend. The amount comes from another
// node, so it is held within zero and what was allotted.
func (b *Budget) Return(unused, allotted int) {
	b.left += min(max(unused, 0), allotted)
}
