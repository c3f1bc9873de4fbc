package fleet

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Rig is processes before servers, each behind links of its own. Create it with NewRig.
type Rig struct {
	Processes   []*Process
	ServerLinks [][]*Relay // by process and server
	PeerLinks   [][]*Relay // by process and the process that it asks; nil where there is none
	Record      Record
	// SetUpdatesBlocked, if set, is called as a process begins or ends to be deaf, for who tells it of the servers.
	SetUpdatesBlocked func(process int, deaf bool) error
}

// NewRig makes a rig of processes that have not been started, in folders below dir, before servers at
// these addresses. command starts one, with its configuration's path as the last argument.
func NewRig(dir string, nodes int, servers []string, command, env []string) (*Rig, error) {
	r := &Rig{}
	for i := range nodes {
		p, err := NewProcess(filepath.Join(dir, fmt.Sprint("node-", i)), command, env)
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.Processes = append(r.Processes, p)
		var links []*Relay
		for _, addr := range servers {
			l, err := NewRelay(addr)
			if err != nil {
				r.ServerLinks = append(r.ServerLinks, links)
				return nil, errors.Join(err, r.Close())
			}
			links = append(links, l)
		}
		r.ServerLinks = append(r.ServerLinks, links)
	}
	return r, nil
}

// ConnectPeers puts a link between each process and each of those that are asked by others, at these addresses; "": it is
// asked nothing.
func (r *Rig) ConnectPeers(asked []string) error {
	for i := range r.Processes {
		links := make([]*Relay, len(asked))
		r.PeerLinks = append(r.PeerLinks, links)
		for j, addr := range asked {
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

// Start starts all processes at once.
func (r *Rig) Start(ctx context.Context) error {
	errs := make([]error, len(r.Processes))
	var all sync.WaitGroup
	for i, p := range r.Processes {
		all.Go(func() { errs[i] = p.Start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Close ends all processes and links.
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

// step is the beginning or the end of a fault.
type step struct {
	at    time.Duration
	fault *Fault
	over  bool
}

// ApplyFaults has a script befall the rig, from its begin on. It returns when the last fault is over, or ctx.
func (r *Rig) ApplyFaults(ctx context.Context, began time.Time, script []Fault) error {
	var steps []step
	for i := range script {
		steps = append(steps, step{script[i].From, &script[i], false}, step{script[i].To, &script[i], true})
	}
	slices.SortStableFunc(steps, func(x, y step) int { return int(x.at - y.at) })
	on := map[*Fault]bool{}
	var starts sync.WaitGroup
	errs := make(chan error, len(steps)+1)
	defer starts.Wait()
	for _, s := range steps {
		t := time.NewTimer(time.Until(began.Add(s.at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		on[s.fault] = !s.over
		for _, n := range s.fault.Nodes {
			r.Record.Add(Event{Kind: FaultChanged, Party: n, ID: string(s.fault.Kind), Ended: s.over})
			if slices.Contains(linkFaults, s.fault.Kind) {
				r.setLinks(n, script, on)
				r.setPeers(script, on)
				continue
			}
			p, again := r.Processes[n], s.over && !dead(n, script, on)
			switch {
			case s.fault.Kind == Pause:
				if err := p.SetPaused(!s.over); err != nil {
					return err
				}
			case s.fault.Kind == BlockUpdates:
				if r.SetUpdatesBlocked != nil {
					if err := r.SetUpdatesBlocked(n, !s.over); err != nil {
						return err
					}
				}
			case !s.over:
				p.Kill()
			case again:
				if s.fault.Kind == KillAndErase {
					if err := p.EraseState(); err != nil {
						return err
					}
				}
				starts.Go(func() { // others go on meanwhile
					if err := p.Start(ctx); err != nil {
						errs <- err
					}
				})
			}
		}
	}
	starts.Wait()
	errs <- nil
	return <-errs
}

// dead tells whether a fault that lasts wants a process dead.
func dead(node int, script []Fault, on map[*Fault]bool) bool {
	for i := range script {
		if f := &script[i]; on[f] && (f.Kind == Kill || f.Kind == KillAndErase) && slices.Contains(f.Nodes, node) {
			return true
		}
	}
	return false
}

// setLinks makes a process's links what all the faults that last make of them.
func (r *Rig) setLinks(node int, script []Fault, on map[*Fault]bool) {
	for s, l := range r.ServerLinks[node] {
		var link Link
		for i := range script {
			f := &script[i]
			if !on[f] || !slices.Contains(f.Nodes, node) || len(f.Peers) > 0 || len(f.Servers) > 0 && !slices.Contains(f.Servers, s) {
				continue
			}
			link.merge(f.link())
		}
		l.SetLink(link)
	}
}

// merge adds to a link what another fault makes of it.
func (l *Link) merge(o Link) {
	l.DropInbound, l.DropOutbound = l.DropInbound || o.DropInbound, l.DropOutbound || o.DropOutbound
	l.Reset, l.Buffer = l.Reset || o.Reset, l.Buffer || o.Buffer
	l.Delay, l.Rate = max(l.Delay, o.Delay), max(l.Rate, o.Rate)
}

// setPeers makes the links between processes what the faults that last make of them. A fault of i's links to j is one
// of j's to i too, the other way round.
func (r *Rig) setPeers(script []Fault, on map[*Fault]bool) {
	for i, links := range r.PeerLinks {
		for j, l := range links {
			if l == nil {
				continue
			}
			var link Link
			for k := range script {
				f := &script[k]
				if !on[f] {
					continue
				}
				one := f.link()
				if slices.Contains(f.Nodes, i) && slices.Contains(f.Peers, j) {
					link.merge(one)
				}
				if slices.Contains(f.Nodes, j) && slices.Contains(f.Peers, i) {
					one.DropInbound, one.DropOutbound = one.DropOutbound, one.DropInbound
					link.merge(one)
				}
			}
			l.SetLink(link)
		}
	}
}
