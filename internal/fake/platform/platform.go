// Package platform is a fake of what runs the platform's nodes on one machine: it holds the clients' listening socket,
// the list of servers and the folder that a node's processes share, and starts real processes of the node, several at
// once if it is asked to.
//
//   - platform.go: the platform and its servers
//   - socket.go: the clients' socket
//   - launch.go: the start of a process
//   - node.go: a process; nodelog.go: its log
//   - clients.go: the clients; client.go: one of them
package platform

import (
	"fmt"
	"os"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/registrar"
)

// timeout bounds how long a process may take to answer an operator, to start or to end.
const timeout = 30 * time.Second

// Options are a platform's node and its limits.
type Options struct {
	Command    []string // of the node
	Env        []string // of the node, in addition to what the platform sets
	PassSocket bool     // the platform holds the clients' socket; else each process listens by itself
	Settings   string   // of the node, in JSON
	MemoryMB   int      // the node's limit
	Sockets    int      // the node's limit

	// Servers are on the list after Boxes servers of the platform's own.
	Servers       []discovery.Instance
	AppServers    int
	ResponseDelay time.Duration // of a server of the platform's own
}

// Platform runs the processes of one node. Create it with New. Its methods are not safe for concurrent use.
type Platform struct {
	Addr       string           // where clients connect
	AppServers []*appbox.Server // the platform's own servers

	options Options
	list    *registrar.Registrar
	dir     string
	socket  *os.File // the clients' one; nil without Options.PassSocket
	nodes   []*Node
}

// New returns a platform without processes.
func New(o Options) (*Platform, error) {
	p := &Platform{options: o}
	err := p.setUp()
	if err != nil {
		p.Close()
		return nil, fmt.Errorf("platform: %w", err)
	}
	return p, nil
}

// setUp makes the folder and starts the servers, their list and the clients' socket.
func (p *Platform) setUp() (err error) {
	if p.dir, err = os.MkdirTemp("", "yokestall-platform-"); err != nil {
		return err
	}
	instances, err := p.startServers()
	if err != nil {
		return err
	}
	if p.list, err = registrar.Start(append(instances, p.options.Servers...)...); err != nil {
		return err
	}
	return p.openSocket()
}

// startServers starts the platform's own servers and returns their entries of the list.
func (p *Platform) startServers() (instances []discovery.Instance, err error) {
	for i := range p.options.AppServers {
		box, err := appbox.Start(fmt.Sprint("box-", i))
		if err != nil {
			return nil, err
		}
		box.SetDelay(p.options.ResponseDelay)
		p.AppServers = append(p.AppServers, box)
		instances = append(instances, discovery.Instance{
			InstanceID: box.Name, HostPort: box.Addr(), Lifecycle: "Ready", Zone: "a", Weight: 1,
		})
	}
	return instances, nil
}

// UseCommand replaces Options.Command and Options.Env for the processes that are started from now on.
func (p *Platform) UseCommand(command, env []string) { p.options.Command, p.options.Env = command, env }

// Close kills the processes that still run and ends everything else.
func (p *Platform) Close() {
	for _, node := range p.nodes {
		node.Kill()
	}
	p.ReleaseSocket()
	for _, box := range p.AppServers {
		box.Down()
	}
	if p.list != nil {
		p.list.Close()
	}
	if p.dir != "" {
		os.RemoveAll(p.dir)
	}
}

// Received returns how many requests have reached a server, by its index in Boxes.
func (p *Platform) Received(i int) int { return p.AppServers[i].Count() }

// Duplicates returns how many requests, by their id, have reached the servers more than once.
func (p *Platform) Duplicates() (n int) {
	received := map[string]int{}
	for _, box := range p.AppServers {
		requests, _ := box.Seen()
		for _, request := range requests {
			received[request.ID]++
			if received[request.ID] == 2 {
				n++
			}
		}
	}
	return n
}
