package delay

import "fmt"

// StatusError reports a measured call that was not answered with status 200.
type StatusError struct {
	url    string
	status int
}

// Error names the call and its status.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.url, e.status) }
