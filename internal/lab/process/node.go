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

// settingsMode is the mode of the settings file, which contains a token.
const settingsMode = 0o600

// Node is a running node process.
type Node struct {
	command  *exec.Cmd
	settings settings.Settings
}

// Start runs "papayapath node" with the given settings. program is the path of
// the papayapath binary and folder the directory for the settings file.
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

// Pause suspends the process until Continue is called.
func (n *Node) Pause() error { return n.command.Process.Signal(syscall.SIGSTOP) }

// Continue resumes a suspended process.
func (n *Node) Continue() error { return n.command.Process.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for it to exit.
func (n *Node) Kill() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
}

// Stop terminates the process gracefully and returns the error of its exit, if
// any.
func (n *Node) Stop() error {
	if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return n.command.Wait()
}

// StartError reports a node process that could not be started.
type StartError struct{ cause error }

// Error returns the message with the cause.
func (e *StartError) Error() string { return fmt.Sprintf("start node: %v", e.cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.cause }
