package platform

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/adminapi"
)

// Node is a started process of the platform's node.
type Node struct {
	*exec.Cmd
	Ended     chan struct{} // closed when the process has ended
	Err       error         // its exit error, valid once Ended is closed
	adminAddr string        // address of the admin API

	mu    sync.Mutex
	lines []string // the last lines of the log, at most maxLogLines; guarded by mu
}

// Call sends a command to the admin API and returns the response, or the text of the error.
func (n *Node) Call(text string) string {
	answer, err := adminapi.Send(n.adminAddr, text, timeout)
	if err != nil {
		return err.Error()
	}
	return answer
}

// Stop sends SIGTERM to the process, waits for its end and returns its exit error.
func (n *Node) Stop() error {
	if err := n.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return n.WaitEnded()
}

// WaitEnded waits until the process has ended and returns its exit error. It fails if the process does not end within
// timeout.
func (n *Node) WaitEnded() error {
	select {
	case <-n.Ended:
		return n.Err
	case <-time.After(timeout):
		return errors.New("platform: the node process did not end within 30 s")
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Process.Kill()
	<-n.Ended
}

// PeakMB returns the peak resident memory of the process in MiB, or 0 if the system does not report it.
func (n *Node) PeakMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if fields, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); fields == 1 {
			return kb / 1024
		}
	}
	return 0
}
