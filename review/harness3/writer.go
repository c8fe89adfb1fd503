package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime  = 2 * time.Second
	lingerTime = 6 * time.Second // from the acknowledgement of draining until the server ends
	// foreignSequence is the sequence number of the other writer, which counts for itself.
	foreignSequence = 100_000
)

// playWriter has another writer send one incomplete heartbeat in the name of a server, which
// leaves some seconds later.
func playWriter(record *recorder, folder string, trouble bool) error {
	routes := []route{{prefix: "/tariff/", kind: "safe", service: "reservations", timeout: 5 * time.Second, priority: 1}}
	w, err := newWorld(record, folder, routes,
		machine{"reservations", "a", 64}, machine{"reservations", "b", 64}, machine{"reservations", "c", 64})
	if err != nil {
		return err
	}
	defer w.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range 12 {
		n := w.nodes[i%len(w.nodes)]
		clients.Go(func() {
			for ctx.Err() == nil {
				w.send(ctx, n, request{id: w.newID(), method: http.MethodGet, path: "/tariff/x?ms=15", deadline: 2500 * time.Millisecond})
				sleep(ctx, 10*time.Millisecond)
			}
		})
	}
	sleep(ctx, 5*time.Second)
	leaving := w.servers[0]
	if trouble {
		// The fields zone, version and cold_left_ms are missing.
		body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":64,"state":"ready","seq":%d,"born":%d}`,
			leaving.service, leaving.node.ip+":8301", foreignSequence, leaving.born)
		record.note("another writer sends %s: acknowledged %t", body, leaving.put(body))
	}
	sleep(ctx, 4*time.Second)
	leaving.state.Store("draining")
	for !leaving.notify(http.MethodPut, "draining") {
		sleep(ctx, 100*time.Millisecond)
	}
	acknowledged := time.Now()
	record.note("draining of %s is acknowledged", leaving.id)
	sleep(ctx, lingerTime)
	leaving.notify(http.MethodDelete, "")
	record.note("%s has gone", leaving.id)
	cancel()
	clients.Wait()
	return judgeDrain(record, leaving.id, acknowledged)
}

// judgeDrain applies the rule DRAIN to a server that has left. Health checks count as no
// requests.
func judgeDrain(record *recorder, server string, acknowledged time.Time) error {
	late := 0
	for _, q := range record.all() {
		for _, v := range record.runsOf(q.id) {
			if v.server == server && v.begun.Sub(acknowledged) > drainTime {
				late++
				record.note("DRAIN: %s, sent to %s, reaches %s %.3f s after the acknowledgement", q.id, q.node, server, v.begun.Sub(acknowledged).Seconds())
			}
		}
	}
	record.note("late requests: %d", late)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests", errBroken, late)
	}
	return nil
}
