package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"
)

// Host is the host of all routes.
const Host = "fleet.example"

// Route is a route of the configuration.
type Route struct {
	Name, Kind, Service string
	Timeout             time.Duration
}

// Prefix returns the path prefix of the route.
func (r Route) Prefix() string { return "/" + r.Name + "/" }

// Deployment is a number of machines, each with a node and a backend server.
type Deployment struct {
	Store  *Store
	record *Record
	folder string
	subnet string
	nodes  []*Node
}

// errNoAddress means that no subnet is free.
var errNoAddress = errors.New("fleet: no free loopback addresses")

// attempts is the number of subnets that are tried.
const attempts = 50

// New returns a deployment without machines, whose store holds a configuration with the
// routes.
func New(record *Record, routes ...Route) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	for range attempts {
		subnet := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		ln, err := net.Listen("tcp4", subnet+".250:8309")
		if err != nil {
			continue
		}
		d := &Deployment{Store: newStore(ln), record: record, folder: folder, subnet: subnet}
		document, err := configuration(routes)
		if err != nil {
			return nil, err
		}
		d.Store.Put("keyed.op", "config", document)
		return d, nil
	}
	return nil, errNoAddress
}

// Close ends all processes and removes the folder.
func (d *Deployment) Close() {
	for _, n := range d.nodes {
		n.Kill()
	}
	os.RemoveAll(d.folder) //nolint:errcheck // a temporary folder
}

// configuration returns a configuration as the operator writes it.
func configuration(routes []Route) ([]byte, error) {
	type object = map[string]any
	var rules, clusters []object
	services := make(map[string]bool)
	for _, r := range routes {
		rules = append(rules, object{
			"name": r.Name, "route_kind": r.Kind, "target_latency_ms": 2000, "priority": 1,
			"match":  object{"path_prefix": r.Prefix()},
			"action": object{"service": r.Service, "timeout_ms": r.Timeout.Milliseconds(), "max_attempts": 2},
		})
		if !services[r.Service] {
			services[r.Service] = true
			clusters = append(clusters, object{
				"name": r.Service, "health_path": "/healthz", "max_connections": 500, "protocol": "h1", "tls": false,
			})
		}
	}
	return json.Marshal(object{
		"version": "00000001",
		"limits": object{
			"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"listeners": []object{{"host": Host, "rules": rules}},
		"clusters":  clusters,
	})
}
