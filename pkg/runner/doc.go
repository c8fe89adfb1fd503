// Package runner schedules the requests offered to the local backend server: it
// runs them, queues them or refuses them.
package runner
