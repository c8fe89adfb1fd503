package scenario

import "fmt"

// ArgumentError reports an argument that a command can't use.
type ArgumentError struct{ text string }

// Error shows the arguments.
func (e *ArgumentError) Error() string { return "wrong arguments: " + e.text }

// ExpectError reports a figure that is not as expected.
type ExpectError struct {
	figure   string
	got      float64
	operator string
	want     float64
}

// Error shows the figure and the expectation.
func (e *ExpectError) Error() string {
	return fmt.Sprintf("%s is %g, expected %s %g", e.figure, e.got, e.operator, e.want)
}
