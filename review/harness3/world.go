package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// startTimeout bounds the time until all nodes reach all services.
	startTimeout = 20 * time.Second
	// usualBodyLimit is the limit on bodies in the configuration, in bytes.
	usualBodyLimit = 64 << 20
)

// machine describes a machine of a deployment.
type machine struct {
	service string
	zone    string
	slots   int
}

// route describes a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout               time.Duration
	priority              int
}

// world is a small deployment of node processes and stand-ins.
type world struct {
	folder  string
	network string
	record  *recorder
	store   *store
	nodes   []*node
	servers []*server
	version int
	// bodyLimit is the limit on bodies in the configuration, in bytes.
	bodyLimit int
	routes    []route
	count     atomic.Int64
}

// newWorld starts a deployment and waits until every node reaches every service.
func newWorld(record *recorder, folder string, routes []route, machines ...machine) (*world, error) {
	w := &world{folder: folder, record: record, routes: routes, bodyLimit: usualBodyLimit}
	if err := w.serveStore(); err != nil {
		return nil, err
	}
	w.publish()
	for i, m := range machines {
		n := newNode(folder, fmt.Sprintf("%s.%d", w.network, i+1), m.zone, m.service, w.network+".250:8309", true)
		s := &server{service: m.service, zone: m.zone, slots: m.slots, node: n, world: w}
		w.nodes, w.servers = append(w.nodes, n), append(w.servers, s)
		if err := errors.Join(n.start(), s.start()); err != nil {
			w.close()
			return nil, err
		}
	}
	if err := w.awaitServing(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// serveStore serves the store in the first free network.
func (w *world) serveStore() (err error) {
	const networks = 200
	for i := range networks {
		w.network = fmt.Sprintf("127.%d.%d", 80+os.Getpid()%100, 1+(os.Getpid()/100+i)%networks)
		var probe net.Listener
		if probe, err = net.Listen("tcp4", w.network+".1:8304"); err != nil {
			continue
		}
		probe.Close() //nolint:errcheck // only tells that the address is free
		if w.store, err = newStore(w.network + ".250:8309"); err == nil {
			return nil
		}
	}
	return err
}

// publish puts the configuration with the present routes into the store.
func (w *world) publish() time.Time {
	w.version += 3
	var rules, clusters []map[string]any
	known := make(map[string]bool)
	for i, r := range w.routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "route_kind": r.kind, "target_latency_ms": 1500, "priority": r.priority,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeout.Milliseconds(), "max_attempts": 2},
		})
		if !known[r.service] {
			known[r.service] = true
			clusters = append(clusters, map[string]any{"name": r.service, "health_path": "/healthz", "max_connections": 1522, "protocol": "h1", "tls": false})
		}
	}
	document, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", w.version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": w.bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rules}}, "clusters": clusters,
	})
	if err != nil {
		panic(err) // the document has no values that cannot be encoded
	}
	at := w.store.put("keyed.op", "config", document)
	w.record.note("the store acknowledges configuration %08x", w.version)
	return at
}

// awaitServing waits until each node has a good answer on each safe route, several times.
func (w *world) awaitServing() error {
	limit := time.Now().Add(startTimeout)
	for _, n := range w.nodes {
		for _, r := range w.routes {
			for good := 0; good < 3; {
				q := w.send(context.Background(), n, request{id: w.newID(), method: http.MethodGet, path: r.prefix + "start?ms=1", deadline: time.Second})
				if q.status == http.StatusOK {
					good++
					continue
				}
				if time.Now().After(limit) {
					return fmt.Errorf("node %s does not serve %s", n.ip, r.prefix)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

func (w *world) newID() string { return fmt.Sprintf("q%06x", w.count.Add(1)) }

// close ends all processes of the deployment.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
