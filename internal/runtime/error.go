package runtime

import "fmt"

// CutError reports calls that were cut because they did not end within the
// time for a stop.
type CutError struct{ open int }

// Error gives the number of calls.
func (e *CutError) Error() string { return fmt.Sprintf("stop: %d calls were cut", e.open) }

// Open returns the number of calls that were cut.
func (e *CutError) Open() int { return e.open }

// StoppedError reports a request to a node that is stopping.
type StoppedError struct{}

// Error says that the node is stopping.
func (*StoppedError) Error() string { return "the node is stopping" }
