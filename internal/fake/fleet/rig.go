package fleet

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
)

// Rig is processes before servers, each behind links of its own. Create it with NewRig.
type Rig struct {
	Processes   []*Process
	ServerLinks [][]*Relay // by process and server
	PeerLinks   [][]*Relay // by process and the process that it calls; nil where there is none
	Record      Record
	// SetUpdatesBlocked is called when a BlockUpdates fault of a process begins or ends; nil: such faults do nothing.
	SetUpdatesBlocked func(process int, blocked bool) error
}

// NewRig makes a rig of processes that have not been started, in folders below dir, before servers at these addresses.
// command starts one, with its configuration's path as the last argument.
func NewRig(dir string, nodes int, servers []string, command, env []string) (*Rig, error) {
	r := &Rig{}
	for i := range nodes {
		if err := r.addProcess(filepath.Join(dir, fmt.Sprint("node-", i)), servers, command, env); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	return r, nil
}

// addProcess adds a process with links to the servers. After an error the rig has those that were made.
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

// ConnectPeers puts a link between each process and each other one that is called, at these addresses by process; "":
// it is not called.
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

// Start starts all processes at once, and waits until they listen.
func (r *Rig) Start(ctx context.Context) error {
	errs := make([]error, len(r.Processes))
	var all sync.WaitGroup
	for i, p := range r.Processes {
		all.Go(func() { errs[i] = p.Start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Close kills all processes and closes all links. It returns nil.
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
