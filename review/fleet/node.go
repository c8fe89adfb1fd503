package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// program is the node as the deploy file builds it, from the root of the repository.
const program = "target/sidecar"

// Settings of the nodes, as those of the 13 machines of the deployments in sites/.
const (
	memoryMB = 284
	drainMS  = 2000
)

// ShortGrace is the grace period of the smaller deployments, in seconds.
const ShortGrace = 6

// LongGrace is that of the large one.
const LongGrace = 10

// Node is a machine with a process of the node.
type Node struct {
	d       *Deployment
	ip      string
	zone    string
	service string
	grace   int // seconds

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// AddNode adds a machine with a server of a service, and starts its node with ShortGrace.
func (d *Deployment) AddNode(service string) (*Node, error) {
	i := len(d.nodes) + 1
	n := &Node{d: d, ip: fmt.Sprintf("%s.%d", d.subnet, i), zone: "zone-a", service: service, grace: ShortGrace}
	d.nodes = append(d.nodes, n)
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	return n, n.Start()
}

func (n *Node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// Name returns a name for the record.
func (n *Node) Name() string { return "node " + n.ip + " of " + n.service }

func (n *Node) settingsPath() string { return filepath.Join(n.d.folder, n.ip+".conf") }

// SetGrace changes the grace period in the settings file.
func (n *Node) SetGrace(seconds int) error {
	n.grace = seconds
	n.d.record.Printf("the settings file of %s has bounds.grace_s=%d", n.Name(), seconds)
	return n.writeSettings()
}

// writeSettings replaces the settings file.
func (n *Node) writeSettings() error {
	text := strings.Join([]string{
		"node_name=side-" + n.ip, "role=node", "machine_class=sidecar", "serves=sidecar", "ip=" + n.ip,
		"zone=" + n.zone, "region=region-a", "zones.zone-a=region-a",
		"listen.inbound=" + n.address(8300), "listen.outbound=" + n.address(8304), "listen.ready=" + n.address(8302),
		"listen.control_plane=" + n.address(8306), "internal_ports=7620,7635", "seeds=", "bootstrap=true",
		"limits.cpu_share=0.64", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", memoryMB), "limits.max_fds=4100",
		"heartbeat_ms=1500", "contracts=base,drain,config,cost,retry,recover,pressure,platform",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stability_ms=3000", "bounds.ack_ms=4000",
		"bounds.catch_up_s=4", fmt.Sprintf("bounds.drain_ms=%d", drainMS), fmt.Sprintf("bounds.grace_s=%d", n.grace),
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.max_stretch_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.retry_budget_slack=47", "bounds.recovery_s=15", "app_addr=" + n.address(8301), "service=" + n.service,
		"platform.address=" + n.d.subnet + ".250:8309", "platform.form=log", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.parts=24", "platform.min_ttl_ms=1000", "",
	}, "\n")
	next := n.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settingsPath())
}

// Start starts the process.
func (n *Node) Start() error {
	c := exec.Command(program)
	c.Env = []string{"PAPAYAPATH_NODE_FILE=" + n.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	// The process ends with the script, however the script ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.d.record.Printf("%s starts, process %d", n.Name(), c.Process.Pid)
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended = c, ended
	n.mu.Unlock()
	go func() {
		err := c.Wait()
		n.d.record.Printf("%s has ended: %v", n.Name(), err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.d.record.Printf("%s gets %s", n.Name(), s)
	return n.command.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (n *Node) Ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	c, ended := n.command, n.ended
	n.mu.Unlock()
	if c != nil {
		c.Process.Kill() //nolint:errcheck // it may have ended
		<-ended
	}
}
