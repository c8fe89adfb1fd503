package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one fault in a file.
type Fault struct {
	file   string
	line   int // counts from 1; 0 if the fault has no place in the file
	field  string
	reason string
}

// File returns the name of the file.
func (f *Fault) File() string { return f.file }

// Line returns the line, counted from 1, or 0 if the fault concerns the file.
func (f *Fault) Line() int { return f.line }

// Field returns the path of the field, like calls[2].deadline, or an empty
// string for the whole document.
func (f *Fault) Field() string { return f.field }

// Reason says what is wrong.
func (f *Fault) Reason() string { return f.reason }

// Error returns the form file:line: field: reason.
func (f *Fault) Error() string {
	text := f.file
	if f.line > 0 {
		text = fmt.Sprintf("%s:%d", text, f.line)
	}
	if f.field != "" {
		text += ": " + f.field
	}
	return text + ": " + f.reason
}

// Faults are all the faults found in a file, in the order of lines.
type Faults []*Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (f Faults) Unwrap() []error {
	errs := make([]error, len(f))
	for i, fault := range f {
		errs[i] = fault
	}
	return errs
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b *Fault) int { return cmp.Compare(a.line, b.line) })
}
