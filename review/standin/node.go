package standin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryCheckInterval is how often the memory of a process is compared with
	// its limit.
	memoryCheckInterval = 10 * time.Millisecond
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// Ports of a node, the same at each address.
	inboundPort, serverPort, readyPort = 8300, 8301, 8302
	callerPort, heartbeatPort          = 8304, 8306
)

// End is the end of a node's process.
type End struct {
	At     time.Time
	Memory int64 // resident bytes if the process had exceeded its limit, else 0
	Asked  bool  // the case ended it
}

// Node is a machine's node: a process of the project, started again when it ends.
type Node struct {
	IP, Zone, Service string
	StoreAddress      string
	Folder            string // for the settings and the log
	MemoryMB          int
	GraceS            int

	record *Record

	mu       sync.Mutex
	command  *exec.Cmd
	asked    bool
	stopped  bool
	peak     int64
	killed   int
	ended    bool // no process runs
	ends     []End
	finished sync.WaitGroup
}

// CallerAddress returns the address for clients and the machine's server.
func (n *Node) CallerAddress() string { return fmt.Sprintf("%s:%d", n.IP, callerPort) }

// ServerAddress returns the address of the machine's server.
func (n *Node) ServerAddress() string { return fmt.Sprintf("%s:%d", n.IP, serverPort) }

// HeartbeatAddress returns the address for heartbeats of the machine's server.
func (n *Node) HeartbeatAddress() string { return fmt.Sprintf("%s:%d", n.IP, heartbeatPort) }

// ReadyAddress returns the address for readiness checks.
func (n *Node) ReadyAddress() string { return fmt.Sprintf("%s:%d", n.IP, readyPort) }

func (n *Node) settingsPath() string { return filepath.Join(n.Folder, n.IP+".conf") }

func (n *Node) writeSettings() error {
	lines := []string{
		"node_name=sidecar-" + n.IP, "role=node", "machine_class=sidecar", "serves=sidecar",
		"ip=" + n.IP, "zone=" + n.Zone, "region=r", "zones." + n.Zone + "=r",
		fmt.Sprintf("listen.inbound=%s:%d", n.IP, inboundPort),
		"listen.outbound=" + n.CallerAddress(),
		"listen.ready=" + n.ReadyAddress(),
		"listen.control_plane=" + n.HeartbeatAddress(),
		"internal_ports=7620,7635", "seeds=", "bootstrap=true",
		"limits.cpu_share=0.64", "limits.cpu_cores=1", fmt.Sprintf("limits.memory_mb=%d", n.MemoryMB), "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=static", "entry=static", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,retry,recover,pressure,platform",
		"bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", n.GraceS), "bounds.config_apply_ms=2000", "bounds.loss_slack_ms=200",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_budget_slack=47",
		"app_addr=" + n.ServerAddress(), "service=" + n.Service,
		"platform.address=" + n.StoreAddress, "platform.form=log", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.keep_s=20", "platform.record_bytes=262144",
	}
	return os.WriteFile(n.settingsPath(), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// Start starts the process and keeps it running until Stop.
func (n *Node) Start(r *Record) error {
	n.record = r
	if err := n.writeSettings(); err != nil {
		return err
	}
	if err := n.launch(); err != nil {
		return err
	}
	n.finished.Add(1)
	go n.supervise()
	return nil
}

func (n *Node) launch() error {
	out, err := os.OpenFile(filepath.Join(n.Folder, n.IP+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() //nolint:errcheck // the process has its own descriptor
	c := exec.Command("target/sidecar")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYAPATH_NODE_FILE=" + n.settingsPath()}
	c.Stdout, c.Stderr = out, out
	// The process ends with the case, however the case ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.record.Printf("node %s starts, process %d", n.IP, c.Process.Pid)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command, n.asked, n.ended = c, false, false
	return nil
}

// supervise kills the process if it exceeds its memory, as the platform does, and
// starts it again when it has ended.
func (n *Node) supervise() {
	defer n.finished.Done()
	for {
		n.mu.Lock()
		c := n.command
		n.mu.Unlock()
		done := make(chan struct{})
		go func() {
			c.Wait() //nolint:errcheck // any end is recorded
			close(done)
		}()
		memory := n.watchMemory(c, done)
		now := time.Now()
		n.mu.Lock()
		end := End{At: now, Memory: memory, Asked: n.asked && memory == 0}
		n.ends, n.ended = append(n.ends, end), true
		stopped := n.stopped
		n.mu.Unlock()
		n.record.Printf("node %s has ended: %v, resident %d MB over the limit, asked %t", n.IP, c.ProcessState, memory>>20, end.Asked)
		if stopped {
			return
		}
		time.Sleep(restartDelay)
		if err := n.launch(); err != nil {
			n.record.Printf("node %s does not start: %v", n.IP, err)
			return
		}
	}
}

// watchMemory returns when the process has ended, and the resident bytes for which
// it was killed.
func (n *Node) watchMemory(c *exec.Cmd, done <-chan struct{}) (killedAt int64) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return killedAt
		case <-ticker.C:
		}
		resident := residentBytes(c.Process.Pid)
		n.mu.Lock()
		n.peak = max(n.peak, resident)
		n.mu.Unlock()
		if resident > int64(n.MemoryMB)<<20 && killedAt == 0 {
			killedAt = resident
			c.Process.Kill() //nolint:errcheck // it may have ended
		}
	}
}

func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// Burst sends signals with the given pauses between them, and returns the time of
// the last one. A SIGTERM among them starts the grace period, at whose end the
// process is killed.
func (n *Node) Burst(pauses []time.Duration, signals ...syscall.Signal) time.Time {
	n.mu.Lock()
	c := n.command
	n.asked = n.asked || slices.Contains(signals, syscall.SIGTERM)
	n.mu.Unlock()
	for i, s := range signals {
		c.Process.Signal(s) //nolint:errcheck // it may have ended
		if i < len(pauses) {
			// A timer is too coarse for these pauses.
			for start := time.Now(); time.Since(start) < pauses[i]; {
				runtime.Gosched()
			}
		}
	}
	at := time.Now()
	n.record.Printf("node %s gets signals %v with pauses %v", n.IP, signals, pauses)
	if slices.Contains(signals, syscall.SIGTERM) {
		time.AfterFunc(time.Duration(n.GraceS)*time.Second, func() { n.endGrace(c) })
	}
	return at
}

// endGrace kills the process if it is still running.
func (n *Node) endGrace(c *exec.Cmd) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == c && !n.stopped && !n.ended {
		n.record.Printf("node %s is killed at the end of its grace period", n.IP)
		n.killed++
		c.Process.Kill() //nolint:errcheck // it may have ended
	}
}

// KilledInGrace returns how often the process was killed at the end of its grace
// period.
func (n *Node) KilledInGrace() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// Stop kills the process for good.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stopped, n.asked = true, true
	n.command.Process.Kill() //nolint:errcheck // it may have ended
	n.mu.Unlock()
	n.finished.Wait()
}

// Ends returns the ends of the process so far and its peak memory in bytes.
func (n *Node) Ends() ([]End, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]End(nil), n.ends...), n.peak
}
