package process

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/papayapath/papayapath/internal/settings"
)

// settingsMode is the mode of the settings file, which holds a token.
const settingsMode = 0o600

// Node is a running node process.
type Node struct {
	command  *exec.Cmd
	settings settings.Settings
}

// Start runs "papayapath node" with the given settings. program is the path of
// papayapath and folder a place for the settings file.
func Start(program, folder string, s settings.Settings) (*Node, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, &StartError{cause: err}
	}
	file := filepath.Join(folder, fmt.Sprintf("node-%x.json", s.Peers))
	if err := os.WriteFile(file, data, settingsMode); err != nil {
		return nil, &StartError{cause: err}
	}
	command := exec.Command(program, "node", "-settings", file)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return nil, &StartError{cause: err}
	}
	return &Node{command: command, settings: s}, nil
}

// Settings returns the settings of the node.
func (n *Node) Settings() settings.Settings { return n.settings }

// Pause stops the process until Continue.
func (n *Node) Pause() error { return n.command.Process.Signal(syscall.SIGSTOP) }

// Continue lets a paused process go on.
func (n *Node) Continue() error { return n.command.Process.Signal(syscall.SIGCONT) }

// Kill ends the process at once.
func (n *Node) Kill() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
}

// Stop stops the process gracefully and returns its error, if it failed.
func (n *Node) Stop() error {
	if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return n.command.Wait()
}

// StartError reports a node process that can't be started.
type StartError struct{ cause error }

// Error gives the cause.
func (e *StartError) Error() string { return fmt.Sprintf("start node: %v", e.cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.cause }
