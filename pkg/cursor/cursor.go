package cursor

// None is the position of a reader that starts from the newest records.
const None = -1

// Cursor is the position up to which a reader has read a log. A log that comes
// back from a copy has a higher generation and gives out some offsets again, so a
// position holds only in the generation in which it was read.
//
// A Cursor is not safe for concurrent use. Create it with New.
type Cursor struct {
	position   int64
	generation uint64
}

// New returns a cursor without a position.
func New() *Cursor { return &Cursor{position: None} }

// Position returns the offset from which to read in the given generation, or None
// if it is not known.
func (c *Cursor) Position(generation uint64) int64 {
	if generation != c.generation {
		c.Reset()
	}
	return c.position
}

// Advance sets the position after a read, given the generation known before and
// after it. A read during which the generation changed leaves no position,
// because what it returned may be of either. Before the first read the generation
// is 0, unknown.
func (c *Cursor) Advance(before, after uint64, end int64) {
	if before != after && before != 0 {
		c.Reset()
		return
	}
	c.position, c.generation = end, after
}

// Reset removes the position.
func (c *Cursor) Reset() { c.position = None }
