package runtime

import "fmt"

// AddressError reports an address of the settings that can't be used.
type AddressError struct {
	field string
	cause error
}

// Error names the field and the fault.
func (e *AddressError) Error() string { return fmt.Sprintf("settings: %s: %v", e.field, e.cause) }

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.cause }

// CutError reports calls that were cut because they did not end within the
// time for a stop.
type CutError struct{ open int }

// Error gives the number of calls.
func (e *CutError) Error() string { return fmt.Sprintf("stop: %d calls were cut", e.open) }

// Open returns the number of calls that were cut.
func (e *CutError) Open() int { return e.open }
