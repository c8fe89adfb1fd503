package fault

import (
	"fmt"
	"runtime/debug"
)

// PanicError reports a panic.
type PanicError struct {
	value any
	stack []byte
}

// Error states the value of the panic and the stack of its goroutine.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.value, e.stack) }

// Call returns the result of f, or a *PanicError if f panics. f must not hold a
// lock that outlives it: the state behind the lock may be inconsistent.
func Call[T any](f func() (T, error)) (v T, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = &PanicError{value: r, stack: debug.Stack()}
		}
	}()
	return f()
}
