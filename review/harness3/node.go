package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// node is a process of the project, started as the deploy file says.
type node struct {
	ip       string
	folder   string
	settings map[string]string
	process  *exec.Cmd
	ended    chan struct{}
}

// newNode returns a node with the settings of a small deployment.
func newNode(folder, ip, zone, service, storeAddress string, first bool) *node {
	return &node{ip: ip, folder: folder, settings: map[string]string{
		"node_name": "sidecar-" + ip, "role": "node", "machine_class": "sidecar", "serves": "sidecar",
		"ip": ip, "zone": zone, "region": "bzh", "listen.inbound": ip + ":8300", "listen.outbound": ip + ":8304",
		"listen.ready": ip + ":8302", "listen.control_plane": ip + ":8306", "internal_ports": "7620,7635",
		"seeds": "", "bootstrap": fmt.Sprint(first), "limits.cpu_share": "0.64", "limits.cpu_cores": "1",
		"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "heartbeat_ms": "1500",
		"contracts": "base,drain,config,cost,retry,recover,pressure,platform", "bounds.stability_ms": "3000",
		"bounds.drain_ms": "2000", "bounds.grace_s": "6", "bounds.loss_slack_ms": "200", "bounds.config_apply_ms": "2000",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.retry_budget_slack": "47",
		"bounds.recovery_s": "15", "app_addr": ip + ":8301", "service": service, "platform.address": storeAddress,
		"platform.form": "log", "platform.writes_per_s": "400", "platform.reads_per_s": "2000", "platform.min_ttl_ms": "1000",
	}}
}

func (n *node) callers() string { return n.ip + ":8304" }

// writeSettings replaces the settings file.
func (n *node) writeSettings() error {
	var lines []string
	for k, v := range n.settings {
		lines = append(lines, k+"="+v)
	}
	sort.Strings(lines)
	path := filepath.Join(n.folder, n.ip+".conf")
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	c := exec.Command("target/sidecar")
	c.Env = append(os.Environ(), "PAPAYAPATH_NODE_FILE="+filepath.Join(n.folder, n.ip+".conf"))
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.process, n.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		c.Wait() //nolint:errcheck // the log has the cause
		close(ended)
	}(n.ended)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	if n.process != nil {
		n.process.Process.Signal(s) //nolint:errcheck // the process may have ended
	}
}

// stop sends SIGTERM, and SIGKILL at the end of the grace period. It returns the time of
// the signal, and whether the process had to be killed.
func (n *node) stop(grace time.Duration) (at time.Time, killed bool) {
	at = time.Now()
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(grace):
		n.kill()
		killed = true
	}
	return at, killed
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.process != nil {
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
}
