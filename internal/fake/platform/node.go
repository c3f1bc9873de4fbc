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

// Node is a process of the node.
type Node struct {
	*exec.Cmd
	Ended     chan struct{} // closed when the process has ended
	Err       error         // its exit error, valid once Ended is closed
	adminAddr string        // where it listens for operators

	mu    sync.Mutex
	lines []string // of the log, at most the last maxLogLines; guarded by mu
}

// Call sends an operator's call and returns the answer, or the text of the error.
func (n *Node) Call(text string) string {
	answer, err := adminapi.Send(n.adminAddr, text, timeout)
	if err != nil {
		return err.Error()
	}
	return answer
}

// Stop sends the process SIGTERM and waits for its end. It returns its exit error.
func (n *Node) Stop() error {
	if err := n.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return n.WaitEnded()
}

// WaitEnded waits for the end of a process that was asked to end, and returns its exit error.
func (n *Node) WaitEnded() error {
	select {
	case <-n.Ended:
		return n.Err
	case <-time.After(timeout):
		return errors.New("platform: the process does not end")
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Process.Kill()
	<-n.Ended
}

// PeakMB returns the largest resident memory that the process has had, in MB; 0 if the system does not report it.
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
