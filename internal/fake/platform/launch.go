package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// readyPollInterval is the time between two PING commands to a starting process.
const readyPollInterval = 2 * time.Millisecond

// Start starts a process of the node, in addition to the running ones, and waits until it answers PING with +OK.
func (p *Platform) Start() (*Node, error) {
	node, err := p.Launch()
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(timeout)
	for !strings.HasPrefix(node.Call("PING"), "+OK") {
		if time.Now().After(deadline) {
			return nil, errors.New("platform: the node process did not answer PING with +OK within 30 s")
		}
		time.Sleep(readyPollInterval)
	}
	return node, nil
}

// Launch starts a process of the node and waits only until the process logs the address of its admin API.
func (p *Platform) Launch() (*Node, error) {
	config, err := p.writeConfig()
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	command := exec.Command(p.options.Command[0], p.options.Command[1:]...)
	command.Env = append(p.options.Env, "BALANCER_CONFIG="+config, "TMPDIR="+p.dir)
	if p.socket != nil {
		command.ExtraFiles = []*os.File{p.socket}
		command.Env = append(command.Env, "BALANCER_PASSED_SOCKET=3")
	}
	node := &Node{Cmd: command, Ended: make(chan struct{})}
	log, err := node.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	if err := node.Cmd.Start(); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.nodes = append(p.nodes, node)
	adminAddr := make(chan string, 1)
	go node.followLog(log, adminAddr)
	select {
	case node.adminAddr = <-adminAddr:
		return node, nil
	case <-node.Ended:
		return nil, fmt.Errorf("platform: the node process ended at its start: %w; last line of its log: %q",
			node.Err, node.lastLine())
	case <-time.After(timeout):
		return nil, errors.New("platform: the node process did not log the address of its admin API within 30 s")
	}
}

// writeConfig writes the configuration file of the next process and returns its path.
func (p *Platform) writeConfig() (path string, err error) {
	config, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    p.Addr,
		"discovery": p.list.Addr(),
		"mgmt":      "127.0.0.1:0",
		"limits": map[string]any{
			"cores":     1,
			"memory_mb": p.options.MemoryMB,
			"sockets":   p.options.Sockets,
		},
		"settings": json.RawMessage(p.options.Settings),
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(p.dir, fmt.Sprintf("config-%d.json", len(p.nodes)))
	return path, os.WriteFile(path, config, 0o600)
}
