// Package platform is a fake of the platform that runs a node on one machine. It holds the listening socket for clients,
// the endpoint list and the folder that the node's processes share, and starts real processes of the node, of which
// several can run at once.
//
//   - platform.go: the platform and its application servers
//   - socket.go: the listening socket for clients
//   - launch.go: start of a node process
//   - node.go, nodelog.go: a node process and its log
//   - clients.go, client.go: a group of clients and a single client
package platform

import (
	"fmt"
	"os"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/registrar"
)

// timeout bounds a command to the admin API, the start and the end of a process, and an attempt of a client.
const timeout = 30 * time.Second

// Options configure a platform, its node and its application servers.
type Options struct {
	Command    []string // command line of a node process
	Env        []string // complete environment of a node process, except the variables that the platform adds
	PassSocket bool     // whether the platform passes its listening socket on; otherwise each process listens itself
	Settings   string   // settings of the node in JSON
	MemoryMB   int      // memory limit of the node
	Sockets    int      // socket limit of the node

	// Servers are added to the endpoint list after the platform's own AppServers servers.
	Servers       []discovery.Instance
	AppServers    int           // number of application servers that the platform starts
	ResponseDelay time.Duration // response delay of the platform's own application servers
}

// Platform runs the processes of one node. Create it with New. Its methods are not safe for concurrent use.
type Platform struct {
	Addr       string           // the address that clients connect to
	AppServers []*appbox.Server // the platform's own application servers

	options Options
	list    *registrar.Registrar
	dir     string
	socket  *os.File // listening socket for clients; nil without Options.PassSocket
	nodes   []*Node
}

// New returns a platform whose application servers and endpoint list are running, without node processes.
func New(o Options) (*Platform, error) {
	p := &Platform{options: o}
	err := p.setUp()
	if err != nil {
		p.Close()
		return nil, fmt.Errorf("platform: %w", err)
	}
	return p, nil
}

// setUp creates the shared folder, starts the application servers and the endpoint list, and opens the socket for
// clients.
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

// startServers starts the platform's own application servers and returns their entries of the endpoint list.
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

// UseCommand replaces Options.Command and Options.Env for node processes that are started from now on.
func (p *Platform) UseCommand(command, env []string) { p.options.Command, p.options.Env = command, env }

// Close kills the running processes, stops the servers and the endpoint list, and removes the shared folder.
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

// Received returns the number of requests that the application server with index i in AppServers has received.
func (p *Platform) Received(i int) int { return p.AppServers[i].Count() }

// Duplicates returns the number of request IDs that the application servers together have received more than once.
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
