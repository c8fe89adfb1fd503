// Package crash attributes the crashes of a backend server to the requests that it was
// running.
package crash
