package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	failureTime  = 6 * time.Second
	failureShare = 0.45
	// serverCount makes one failing server a share of 0.125.
	serverCount = 8
)

// playFailure has one server of eight fail a part of the requests that it has run, with
// status 503 and without the field that says that a request was not run.
func playFailure(record *recorder, folder string, trouble bool) error {
	routes := []route{
		{prefix: "/reserve/", kind: "unsafe", service: "reservations", timeout: 5 * time.Second},
		{prefix: "/tariff/", kind: "safe", service: "reservations", timeout: 5 * time.Second, priority: 1},
	}
	var machines []machine
	for i := range serverCount {
		machines = append(machines, machine{"reservations", string(rune('a' + i%3)), 64})
	}
	w, err := newWorld(record, folder, routes, machines...)
	if err != nil {
		return err
	}
	defer w.close()
	ctx, cancel := context.WithTimeout(context.Background(), failureTime)
	defer cancel()
	if trouble {
		w.servers[0].answer = func(req *http.Request) (int, bool) {
			return http.StatusServiceUnavailable, req.Method == http.MethodPost && rand.Float64() < failureShare
		}
	}
	var clients sync.WaitGroup
	for i := range 3 * serverCount {
		n := w.nodes[i%len(w.nodes)]
		clients.Go(func() {
			for ctx.Err() == nil {
				w.send(context.Background(), n, request{id: w.newID(), method: http.MethodPost, path: "/reserve/x?ms=120", deadline: 5 * time.Second})
			}
		})
	}
	clients.Wait()
	refused := 0
	for _, q := range record.all() {
		if q.method != http.MethodPost || q.status != http.StatusServiceUnavailable && q.status != http.StatusTooManyRequests {
			continue
		}
		if runs := record.runsOf(q.id); len(runs) > 0 {
			refused++
			record.note("REFUSED: %s was answered %d with seal %q and has run at %s", q.id, q.status, q.seal, runs[0].server)
		}
	}
	record.note("refused though run: %d", refused)
	if refused > 0 {
		return fmt.Errorf("%w: REFUSED, %d requests", errBroken, refused)
	}
	return nil
}
