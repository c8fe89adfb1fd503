package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The machines have the loopback addresses 127.x.1.1 and so on, the store has
	// 127.x.2.1, with x in this range.
	firstNetwork, networks = 64, 128

	zones      = 3
	configKey  = "config"
	operators  = "keyed.op"
	startLimit = 10 * time.Second
)

// Deployment is a small deployment: a store, machines with a server and a node
// each, and clients.
type Deployment struct {
	Record *Record

	network          string
	memoryMB, graceS int
	folder           string
	store            *Store
	storeAddress     string
	nodes            []*Node
	servers          []*Server
	clients          []*Client
	out              []atomic.Bool // the machine's clients get no new work
	cancel           context.CancelFunc
	attempts         atomic.Uint64

	mu   sync.Mutex
	done []*Attempt
}

// NewDeployment returns a deployment without machines, which writes its record to
// path. Its nodes have the given memory and grace period.
func NewDeployment(path string, memoryMB, graceS int) (*Deployment, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	r, err := NewRecord(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &Deployment{
		Record: r, network: network, memoryMB: memoryMB, graceS: graceS, folder: folder, store: NewStore(), storeAddress: storeAddress(network),
	}, nil
}

// freeNetwork returns the first half of loopback addresses at which no other
// deployment runs.
func freeNetwork() (string, error) {
	var err error
	for i := range networks {
		network := fmt.Sprintf("127.%d", firstNetwork+(os.Getpid()+i)%networks)
		var ln net.Listener
		if ln, err = net.Listen("tcp4", storeAddress(network)); err == nil {
			ln.Close() //nolint:errcheck // only shows that the address is free
			return network, nil
		}
	}
	return "", err
}

func storeAddress(network string) string { return network + ".2.1:8309" }

// AddServer adds a machine with a server of a service.
func (d *Deployment) AddServer(s *Server, service string) *Server {
	i := len(d.nodes)
	n := &Node{
		IP: fmt.Sprintf("%s.1.%d", d.network, i+1), Zone: fmt.Sprintf("z%d", i%zones), Service: service,
		StoreAddress: d.storeAddress, Folder: d.folder, MemoryMB: d.memoryMB, GraceS: d.graceS,
	}
	s.Node = n
	d.nodes = append(d.nodes, n)
	d.servers = append(d.servers, s)
	return s
}

// Nodes returns the nodes in the order of their addresses.
func (d *Deployment) Nodes() []*Node { return d.nodes }

// Servers returns the servers in the order of their addresses.
func (d *Deployment) Servers() []*Server { return d.servers }

// Configure writes a configuration to the store.
func (d *Deployment) Configure(version int, routes []Route) error {
	var services []string
	for _, n := range d.nodes {
		if !slices.Contains(services, n.Service) {
			services = append(services, n.Service)
		}
	}
	document, err := Configuration(version, routes, services)
	if err != nil {
		return err
	}
	d.Record.Printf("configuration %08x is acknowledged", version)
	d.store.Put(operators, configKey, document)
	return nil
}

// Start starts all machines and waits until they are ready.
func (d *Deployment) Start(routes []Route) error {
	for _, n := range d.nodes {
		for _, a := range []string{n.CallerAddress(), n.ServerAddress(), n.IP + ":9180"} {
			ln, err := net.Listen("tcp4", a)
			if err != nil {
				return err
			}
			ln.Close() //nolint:errcheck // only shows that the address is free
		}
	}
	if err := d.store.Serve(d.storeAddress); err != nil {
		return err
	}
	if err := d.Configure(1, routes); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.out = make([]atomic.Bool, len(d.nodes))
	for i, n := range d.nodes {
		if err := n.Start(d.Record); err != nil {
			return err
		}
		if err := d.servers[i].Serve(ctx, d.Record); err != nil {
			return err
		}
		d.clients = append(d.clients, NewClient(n.CallerAddress(), d.Record))
	}
	limit := time.Now().Add(startLimit)
	for _, n := range d.nodes {
		for !isReady(n) {
			if time.Now().After(limit) {
				return fmt.Errorf("node %s is not ready", n.IP)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i := range d.nodes {
		go d.watchReadiness(ctx, i)
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func isReady(n *Node) bool {
	resp, err := readyClient.Get("http://" + n.ReadyAddress() + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close() //nolint:errcheck // the body is not used
	return resp.StatusCode == http.StatusOK
}

// watchReadiness takes the clients of a machine out after two missed checks.
func (d *Deployment) watchReadiness(ctx context.Context, i int) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	misses := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if isReady(d.nodes[i]) {
			misses = 0
		} else {
			misses++
		}
		d.out[i].Store(misses >= 2)
	}
}

// Load is the traffic of one kind of request.
type Load struct {
	Host, Path, Method string
	Body               int
	Rate               float64 // a second, over all machines
	Deadline           time.Duration
	Until              time.Time
}

// Send sends a load, evenly over the machines, and waits for its answers.
func (d *Deployment) Send(l Load) {
	var all sync.WaitGroup
	interval := time.Duration(float64(time.Second) / l.Rate)
	body := bytes.Repeat([]byte{'b'}, l.Body)
	for i, next := 0, time.Now(); time.Now().Before(l.Until); i, next = i+1, next.Add(interval) {
		time.Sleep(time.Until(next))
		m := i % len(d.clients)
		if d.out[m].Load() {
			continue
		}
		all.Go(func() {
			a := &Attempt{
				ID: fmt.Sprintf("%016x", d.attempts.Add(1)), Method: l.Method, Host: l.Host, Path: l.Path, Body: body, Deadline: l.Deadline,
			}
			d.clients[m].Do(a)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.done = append(d.done, a)
		})
	}
	all.Wait()
}

// Attempts returns the attempts that have ended.
func (d *Deployment) Attempts() []*Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Attempt(nil), d.done...)
}

// Close ends all processes and closes the record.
func (d *Deployment) Close() {
	if d.cancel != nil {
		d.cancel()
	}
	for _, n := range d.nodes {
		if n.command != nil {
			n.Stop()
		}
	}
	d.Record.Close()       //nolint:errcheck // nothing to do about it
	os.RemoveAll(d.folder) //nolint:errcheck // a temporary folder
}
