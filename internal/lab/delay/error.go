package delay

import "fmt"

// StatusError reports a measured call with a status other than 200.
type StatusError struct {
	url    string
	status int
}

// Error returns the URL and the status.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.url, e.status) }
