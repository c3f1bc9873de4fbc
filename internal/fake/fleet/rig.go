package fleet

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
)

// Rig is a set of processes, with a relay for each link from a process to a server or to another process. Create it
// with NewRig.
type Rig struct {
	Processes   []*Process
	ServerLinks [][]*Relay // indexed by process and by server
	PeerLinks   [][]*Relay // indexed by calling and called process; nil where there is no link
	Record      Record
	// SetUpdatesBlocked is called when a BlockUpdates fault of a process starts or ends. If SetUpdatesBlocked is nil,
	// such faults do nothing.
	SetUpdatesBlocked func(process int, blocked bool) error
}

// NewRig returns a rig of processes that have not been started, with their folders below dir and a link from each
// process to each of the servers, which are given by address. Each process is started with command and the path of its
// configuration as the last argument.
func NewRig(dir string, nodes int, servers []string, command, env []string) (*Rig, error) {
	r := &Rig{}
	for i := range nodes {
		if err := r.addProcess(filepath.Join(dir, fmt.Sprint("node-", i)), servers, command, env); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	return r, nil
}

// addProcess adds a process with links to the servers. After an error the rig keeps the process and the links that were
// made, so that Close releases them.
func (r *Rig) addProcess(dir string, servers, command, env []string) error {
	p, err := NewProcess(dir, command, env)
	if err != nil {
		return err
	}
	r.Processes = append(r.Processes, p)
	var links []*Relay
	defer func() { r.ServerLinks = append(r.ServerLinks, links) }()
	for _, addr := range servers {
		l, err := NewRelay(addr)
		if err != nil {
			return err
		}
		links = append(links, l)
	}
	return nil
}

// ConnectPeers makes a link from each process to each other process that can be called. addresses has the address of
// each process by index, or "" for a process that is not called.
func (r *Rig) ConnectPeers(addresses []string) error {
	for i := range r.Processes {
		links := make([]*Relay, len(addresses))
		r.PeerLinks = append(r.PeerLinks, links)
		for j, addr := range addresses {
			if i == j || addr == "" {
				continue
			}
			var err error
			if links[j], err = NewRelay(addr); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start starts all processes in parallel and waits as Process.Start does. It returns all errors joined.
func (r *Rig) Start(ctx context.Context) error {
	errs := make([]error, len(r.Processes))
	var all sync.WaitGroup
	for i, p := range r.Processes {
		all.Go(func() { errs[i] = p.Start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Close kills all processes and closes all links. It always returns nil.
func (r *Rig) Close() error {
	for _, p := range r.Processes {
		p.Kill()
	}
	for _, links := range slices.Concat(r.ServerLinks, r.PeerLinks) {
		for _, l := range links {
			if l != nil {
				l.Close()
			}
		}
	}
	return nil
}
