package scenario

import "fmt"

// ArgumentError reports invalid arguments of a script command.
type ArgumentError struct{ text string }

// Error returns the arguments.
func (e *ArgumentError) Error() string { return "invalid arguments: " + e.text }

// ExpectError reports a metric that does not meet an expectation.
type ExpectError struct {
	metric   string
	got      float64
	operator string
	want     float64
}

// Error returns the metric, its value and the expectation.
func (e *ExpectError) Error() string {
	return fmt.Sprintf("%s is %g, expected %s %g", e.metric, e.got, e.operator, e.want)
}
