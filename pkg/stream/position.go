package stream

import (
	"cmp"
	"fmt"
)

// Position is the position of a record in a stream. The zero Position precedes
// every record, because generations start at 1.
type Position struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	Offset     int64
}

// At returns the position of the record at offset.
func At(generation uint64, offset int64) Position {
	return Position{Generation: generation, Offset: offset}
}

// Compare orders positions by generation, then by offset.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Generation, other.Generation); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, other.Offset)
}

// After reports whether p is after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the form generation.offset.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Generation, p.Offset) }

// Parse parses the form of String. It returns a *FormatError if text is
// malformed.
func Parse(text string) (Position, error) {
	var p Position
	n, err := fmt.Sscanf(text, "%d.%d", &p.Generation, &p.Offset)
	if err != nil || n != 2 || p.String() != text {
		return Position{}, &FormatError{text: text}
	}
	return p, nil
}

// FormatError reports a malformed position.
type FormatError struct{ text string }

// Error states the text and the expected form.
func (e *FormatError) Error() string {
	return fmt.Sprintf("position %q is not of the form generation.offset", e.text)
}
