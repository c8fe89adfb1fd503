package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/papayapath/papayapath/internal/authority"
	"github.com/papayapath/papayapath/internal/keys"
	"github.com/papayapath/papayapath/internal/lab/logserver"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/internal/runtime"
	"github.com/papayapath/papayapath/internal/settings"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// failureDomains is the number of failure domains in each deployment.
	failureDomains = 3
	// pollInterval is the interval at which node states are checked.
	pollInterval = 20 * time.Millisecond
	// anyPort is a loopback address with a free port chosen by the operating
	// system.
	anyPort = "127.0.0.1:0"
)

// Mesh is a set of nodes and their platform log.
type Mesh struct {
	log       *logserver.Log
	address   string // base URL of the log
	authority *authority.Authority
	nodes     []*runtime.Runtime
	stopLog   func() error
	options   []runtime.Option
}

// Start starts the log and n nodes with the given options. It returns the error
// of the first part that fails to start.
func Start(ctx context.Context, n int, options ...runtime.Option) (*Mesh, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		log: logserver.New(), address: "http://" + listener.Address(), options: options,
	}
	if m.authority, err = authority.New(time.Now()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	serving := pool.New().WithErrors()
	serving.Go(func() error { return m.log.Serve(ctx, listener) })
	m.stopLog = func() error {
		cancel()
		return serving.Wait()
	}
	for range n {
		if _, err := m.Add(anyPort); err != nil {
			return nil, errors.Join(err, m.Stop())
		}
	}
	return m, nil
}

// Add starts another node, which listens for peers on address.
func (m *Mesh) Add(address string) (*runtime.Runtime, error) {
	config, err := m.config()
	if err != nil {
		return nil, err
	}
	r, err := runtime.Start(settings.Settings{
		Region: "loopback", Domain: fmt.Sprintf("domain-%d", len(m.nodes)%failureDomains),
		Callers: anyPort, Backend: anyPort, Peers: address, Log: m.address,
	}, config, m.options...)
	if err != nil {
		return nil, err
	}
	m.nodes = append(m.nodes, r)
	return r, nil
}

func (m *Mesh) config() (*tls.Config, error) {
	certificate, err := m.authority.Issue(time.Now(), "node")
	if err != nil {
		return nil, err
	}
	return keys.New(certificate, m.authority.Pool()).Config(), nil
}

// Log returns the platform log.
func (m *Mesh) Log() *logserver.Log { return m.log }

// LogAddress returns the base URL of the platform log.
func (m *Mesh) LogAddress() string { return m.address }

// Nodes returns the nodes in start order.
func (m *Mesh) Nodes() []*runtime.Runtime { return m.nodes }

// Publish appends the contracts to the declaration stream of the log.
func (m *Mesh) Publish(ctx context.Context, contracts ...*contract.Contract) error {
	client, err := platform.New(m.address)
	if err != nil {
		return err
	}
	defer client.Close()
	change := &message.Change{Operator: "lab"}
	for _, c := range contracts {
		change.Contracts = append(change.Contracts, c.Document())
	}
	data, err := message.Encode(message.DeclarationRecord{Change: change})
	if err != nil {
		return err
	}
	_, err = client.Append(ctx, declarations.Stream, fmt.Sprintf("lab-%d", time.Now().UnixNano()), data)
	return err
}

// WaitUntil polls the nodes until all of them satisfy ready. It returns the
// context's error if ctx ends first.
func (m *Mesh) WaitUntil(ctx context.Context, ready func(*node.Node) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if m.allReady(ready) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (m *Mesh) allReady(ready func(*node.Node) bool) bool {
	for _, r := range m.nodes {
		ok := false
		r.View(func(n *node.Node) { ok = ready(n) })
		if !ok {
			return false
		}
	}
	return true
}

// Stop stops all nodes concurrently, without draining, and then the log.
func (m *Mesh) Stop() error {
	var group pool.ErrorPool
	for _, r := range m.nodes {
		group.Go(func() error {
			r.Kill()
			return nil
		})
	}
	return errors.Join(group.Wait(), m.stopLog())
}
