package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	stabilityTime  = 3 * time.Second
	maxLateRetries = 3
	poisonInterval = 6 * time.Second
	poisonCount    = 14
	poisonPath     = "/browse/poison"
	calmDelay      = 4 * time.Second // from that request to the others
)

// playPoison sends a request that crashes the servers that run it, again and again, to a
// deployment with little other traffic.
func playPoison(record *recorder, folder string, trouble bool) error {
	routes := []route{{prefix: "/browse/", kind: "safe", service: "catalogue", timeout: 5 * time.Second, priority: 2}}
	w, err := newWorld(record, folder, routes,
		machine{"catalogue", "a", 64}, machine{"catalogue", "b", 64}, machine{"catalogue", "c", 64})
	if err != nil {
		return err
	}
	defer w.close()
	var mu sync.Mutex
	var crashes []crash
	for _, s := range w.servers {
		s.crashes = func(id, path string) bool {
			if !trouble || path != poisonPath {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, crash{id, time.Now()})
			return true
		}
	}
	ctx := context.Background()
	for i := range poisonCount {
		w.send(ctx, w.nodes[i%len(w.nodes)], request{id: w.newID(), method: http.MethodGet, path: poisonPath + "?ms=20", deadline: 5 * time.Second})
		sleep(ctx, calmDelay)
		for _, n := range w.nodes {
			w.send(ctx, n, request{id: w.newID(), method: http.MethodGet, path: "/browse/calm?ms=20", deadline: 5 * time.Second})
		}
		sleep(ctx, poisonInterval-calmDelay)
	}
	mu.Lock()
	defer mu.Unlock()
	return judgePoison(record, crashes)
}

// crash is a crash of a server that began to run the request with an ID.
type crash struct {
	id string
	at time.Time
}

// judgePoison applies the rule BUDGET to the crashes. All sends of one attempt of a client
// count as one retry.
func judgePoison(record *recorder, crashes []crash) error {
	late := make(map[string]bool)
	for _, c := range crashes {
		if len(crashes) > 2 && c.at.Sub(crashes[2].at) > stabilityTime {
			late[c.id] = true
		}
	}
	record.note("crashes: %d, attempts that reached servers later than %v after the third: %d", len(crashes), stabilityTime, len(late))
	if len(late) > maxLateRetries {
		return fmt.Errorf("%w: BUDGET, %d late retries of a request that crashes servers", errBroken, len(late))
	}
	return nil
}
