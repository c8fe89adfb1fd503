package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a run of a request at a server.
type run struct {
	id, server string
	begun      time.Time
	ended      time.Time // zero while it goes on
	status     int       // 0 if the caller left
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	runs     map[string][]*run
	requests []*request
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now(), runs: make(map[string][]*run)}, nil
}

// note writes a line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...) //nolint:errcheck // nothing can be done
}

func (r *recorder) begin(id, server, what string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &run{id: id, server: server, begun: time.Now()}
	r.runs[id] = append(r.runs[id], v)
	r.write("server %s runs %s: %s", server, id, what)
	return v
}

func (r *recorder) end(v *run, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v.ended, v.status = time.Now(), status
	r.write("server %s ends %s: status %d", v.server, v.id, status)
}

func (r *recorder) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// runsOf returns copies of the runs of a request.
func (r *recorder) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []run
	for _, v := range r.runs[id] {
		all = append(all, *v)
	}
	return all
}

// all returns copies of the requests that have ended.
func (r *recorder) all() []request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []request
	for _, q := range r.requests {
		all = append(all, *q)
	}
	return all
}
