package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	smallBodyLimit = 4 << 10
	largeBody      = 100 << 10
	// idleTime is how long a client keeps a connection before its first request: less than
	// four fifths of the idle time-out of 15 s.
	idleTime = 6 * time.Second
	// deniedSlack and deniedPart bound the requests that may be denied.
	deniedSlack, deniedPart = 5, 500
)

// playLimits raises the limit on bodies while clients hold new connections.
func playLimits(record *recorder, folder string, trouble bool) error {
	routes := []route{
		{prefix: "/reserve/", kind: "unsafe", service: "reservations", timeout: 5 * time.Second},
		{prefix: "/tariff/", kind: "safe", service: "reservations", timeout: 5 * time.Second, priority: 1},
	}
	w, err := newWorld(record, folder, routes, machine{"reservations", "a", 64}, machine{"reservations", "b", 64})
	if err != nil {
		return err
	}
	defer w.close()
	if trouble {
		w.bodyLimit = smallBodyLimit
		w.publish()
		time.Sleep(3 * time.Second)
	}
	var clients sync.WaitGroup
	for i := range 40 {
		n := w.nodes[i%2]
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp4", n.callers(), time.Second)
			if err != nil {
				return
			}
			sleep(context.Background(), idleTime)
			w.sendOn(context.Background(), conn, n, request{
				id: w.newID(), method: http.MethodPost, path: "/reserve/x?ms=20", body: strings.Repeat("x", largeBody), deadline: 5 * time.Second,
			})
		})
	}
	time.Sleep(time.Second)
	if trouble {
		w.bodyLimit = usualBodyLimit
		w.publish()
	}
	clients.Wait()
	all, denied := record.all(), 0
	for _, q := range all {
		if q.status == http.StatusRequestEntityTooLarge {
			denied++
		}
	}
	record.note("requests: %d, denied: %d", len(all), denied)
	if denied > deniedSlack+len(all)/deniedPart {
		return fmt.Errorf("%w: DENIED, %d requests", errBroken, denied)
	}
	return nil
}
