// Package platform is a stand-in for what runs the platform's nodes on one machine: it holds the
// clients' listening socket, the list of servers and the folder that a node's processes share, and
// starts real processes of the node, beside one another where it is asked to.
package platform

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/adminapi"
	"yokestall/internal/discovery"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/registrar"
)

// timeout bounds what a process may take to say yes, or to end.
const timeout = 30 * time.Second

// Options say what is run.
type Options struct {
	Command    []string // of the node
	Env        []string // for it, besides what the platform sets
	PassSocket bool     // the platform holds the clients' socket; else each process listens by itself
	Settings   string   // as JSON
	MemoryMB   int
	Sockets    int
	// Servers are on the list, and before them so many app boxes of the platform's own.
	Servers       []discovery.Instance
	Boxes         int
	ResponseDelay time.Duration // of a box for a request
}

// Platform runs the processes of one node. Create it with New.
type Platform struct {
	Addr  string // where clients connect
	Boxes []*appbox.Box

	options Options
	list    *registrar.Registrar
	dir     string
	socket  *os.File // the clients'; nil: not passed
	nodes   []*Node
}

// New makes a platform with no process yet.
func New(o Options) (*Platform, error) {
	p := &Platform{options: o}
	err := p.setUp()
	if err != nil {
		p.Close()
		return nil, fmt.Errorf("platform: %w", err)
	}
	return p, nil
}

func (p *Platform) setUp() (err error) {
	if p.dir, err = os.MkdirTemp("", "yokestall-platform-"); err != nil {
		return err
	}
	var lines []discovery.Instance
	for i := range p.options.Boxes {
		b, err := appbox.Start(fmt.Sprint("box-", i))
		if err != nil {
			return err
		}
		b.SetDelay(p.options.ResponseDelay)
		p.Boxes = append(p.Boxes, b)
		lines = append(lines, discovery.Instance{InstanceID: b.Name, HostPort: b.Addr(), Lifecycle: "Ready", Zone: "a", Weight: 1})
	}
	if p.list, err = registrar.Start(append(lines, p.options.Servers...)...); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close() // a copy that is passed stays
	p.Addr = l.Addr().String()
	if !p.options.PassSocket {
		return nil
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var copied int
		if copied, failed = syscall.Dup(int(fd)); failed != nil {
			return
		}
		// os/exec makes a file's descriptor blocking when it passes it on, and by that the socket,
		// for every process that has it. One that is blocking when the file is made is left alone.
		failed = syscall.SetNonblock(copied, false)
		p.socket = os.NewFile(uintptr(copied), "clients")
	})
	return errors.Join(err, failed)
}

// UseCommand has processes that are started from now on be of another program of the node than Options.Command.
func (p *Platform) UseCommand(command, env []string) { p.options.Command, p.options.Env = command, env }

// ReleaseSocket gives the clients' socket up: what is queued there ends with the last process.
func (p *Platform) ReleaseSocket() {
	if p.socket != nil {
		p.socket.Close()
	}
}

// Close kills what still runs.
func (p *Platform) Close() {
	for _, n := range p.nodes {
		n.Kill()
	}
	p.ReleaseSocket()
	for _, b := range p.Boxes {
		b.Down()
	}
	if p.list != nil {
		p.list.Close()
	}
	if p.dir != "" {
		os.RemoveAll(p.dir)
	}
}

// Received is how many requests have reached a box.
func (p *Platform) Received(i int) int {
	list, lost := p.Boxes[i].Seen()
	return len(list) + lost
}

// Duplicates is how many requests have reached the boxes more than once.
func (p *Platform) Duplicates() (n int) {
	by := map[string]int{}
	for _, b := range p.Boxes {
		list, _ := b.Seen()
		for _, s := range list {
			if by[s.ID]++; by[s.ID] == 2 {
				n++
			}
		}
	}
	return n
}

// Start starts a process of the node, beside those that run, and waits until it says yes.
func (p *Platform) Start() (*Node, error) {
	n, err := p.Launch()
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(timeout); !strings.HasPrefix(n.Call("PING"), "+OK"); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("platform: the node does not say yes")
		}
	}
	return n, nil
}

// Launch starts a process and waits until it hears operators, no longer.
func (p *Platform) Launch() (*Node, error) {
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": p.Addr, "discovery": p.list.Addr(), "mgmt": "127.0.0.1:0",
		"limits":   map[string]any{"cores": 1, "memory_mb": p.options.MemoryMB, "sockets": p.options.Sockets},
		"settings": json.RawMessage(p.options.Settings),
	})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	path := filepath.Join(p.dir, fmt.Sprintf("config-%d.json", len(p.nodes)))
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	n := &Node{Cmd: exec.Command(p.options.Command[0], p.options.Command[1:]...), Ended: make(chan struct{})}
	n.Env = append(p.options.Env, "BALANCER_CONFIG="+path, "TMPDIR="+p.dir)
	if p.socket != nil {
		n.ExtraFiles = []*os.File{p.socket}
		n.Env = append(n.Env, "BALANCER_PASSED_SOCKET=3")
	}
	log, err := n.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	if err := n.Cmd.Start(); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.nodes = append(p.nodes, n)
	heard := make(chan string, 1)
	go n.followLog(log, heard)
	select {
	case n.adminAddr = <-heard:
		return n, nil
	case <-n.Ended:
		return nil, fmt.Errorf("platform: the node ended at once: %w; it said %q", n.Err, n.lastLine())
	case <-time.After(timeout):
		return nil, errors.New("platform: the node does not start")
	}
}

// Node is a process of the node.
type Node struct {
	*exec.Cmd
	Ended     chan struct{} // closed when it has
	Err       error         // how; read after Ended
	adminAddr string        // the operators' address

	mu    sync.Mutex
	lines []string // lines, the latest maxLogLines of them; guarded by mu
}

// maxLogLines bounds what is remembered of a process's log.
const maxLogLines = 10_000

// operatorsLine matches the line by which a process logs the operators' address. Its words differ between versions
// of the program, which run side by side here: they share the subject and an attribute that is an address.
var operatorsLine = regexp.MustCompile(`^[^=]*\b(?:operators|admin)\b.*\b\w+=(127\.0\.0\.1:\d+)`)

// followLog reads the process's log to its end and takes the operators' address out of it.
func (n *Node) followLog(log io.Reader, heard chan<- string) {
	found := false
	for lines := bufio.NewScanner(log); lines.Scan(); {
		line := lines.Text()
		n.keepLine(line)
		if at := operatorsLine.FindStringSubmatch(line); at != nil && !found {
			found = true
			heard <- at[1]
		}
	}
	n.Err = n.Wait()
	close(n.Ended)
}

func (n *Node) keepLine(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.lines) == maxLogLines {
		n.lines = append(n.lines[:0], n.lines[1:]...)
	}
	n.lines = append(n.lines, line)
}

// Log gives the lines that the process has logged so far, the latest ones if there are very many.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.lines...)
}

// lastLine gives the last line of the process's log.
func (n *Node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.lines) == 0 {
		return ""
	}
	return n.lines[len(n.lines)-1]
}

// Call makes one call of an operator's and gives the answer, or why there is none.
func (n *Node) Call(text string) string {
	answer, err := adminapi.Send(n.adminAddr, text, timeout)
	if err != nil {
		return err.Error()
	}
	return answer
}

// Stop asks the process to end and waits for that.
func (n *Node) Stop() error {
	if err := n.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return n.WaitEnded()
}

// WaitEnded waits for the end of a process that was asked to.
func (n *Node) WaitEnded() error {
	select {
	case <-n.Ended:
		return n.Err
	case <-time.After(timeout):
		return errors.New("platform: the process does not end")
	}
}

// Kill ends the process as the platform does in the end.
func (n *Node) Kill() {
	n.Process.Kill()
	<-n.Ended
}

// PeakMB is the most memory that the process has had; 0 where the system does not tell.
func (n *Node) PeakMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
