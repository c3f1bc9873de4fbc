package fleet

import (
	"context"
	"slices"
	"sync"
	"time"
)

// faultScript is the state of a fault script while it is applied to a rig.
type faultScript struct {
	rig    *Rig
	script []Fault
	active map[*Fault]bool
	starts sync.WaitGroup // running restarts of processes
	errs   chan error     // errors of failed restarts
}

// faultStep is the start or the end of a fault.
type faultStep struct {
	at    time.Duration
	fault *Fault
	ends  bool
}

// ApplyFaults applies a fault script whose times count from began. It returns when the last fault has ended and all
// processes have restarted, with the first error of a restart; at the first error of another step; or when ctx ends,
// with the error of ctx.
func (r *Rig) ApplyFaults(ctx context.Context, began time.Time, script []Fault) error {
	steps := sortedSteps(script)
	a := &faultScript{
		rig:    r,
		script: script,
		active: map[*Fault]bool{},
		errs:   make(chan error, len(steps)+1),
	}
	defer a.starts.Wait()
	for _, s := range steps {
		t := time.NewTimer(time.Until(began.Add(s.at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		if err := a.apply(ctx, s); err != nil {
			return err
		}
	}
	a.starts.Wait()
	a.errs <- nil
	return <-a.errs
}

// sortedSteps returns the starts and ends of a script's faults in order of time.
func sortedSteps(script []Fault) (steps []faultStep) {
	for i := range script {
		f := &script[i]
		steps = append(steps, faultStep{f.From, f, false}, faultStep{f.To, f, true})
	}
	slices.SortStableFunc(steps, func(x, y faultStep) int { return int(x.at - y.at) })
	return steps
}

func (a *faultScript) apply(ctx context.Context, s faultStep) error {
	a.active[s.fault] = !s.ends
	for _, n := range s.fault.Nodes {
		a.rig.Record.Add(Event{Kind: FaultChanged, Party: n, ID: string(s.fault.Kind), Ended: s.ends})
		if slices.Contains(linkFaults, s.fault.Kind) {
			a.setServerLinks(n)
			a.setPeerLinks()
			continue
		}
		if err := a.applyToProcess(ctx, n, s); err != nil {
			return err
		}
	}
	return nil
}

func (a *faultScript) applyToProcess(ctx context.Context, node int, s faultStep) error {
	p := a.rig.Processes[node]
	switch s.fault.Kind {
	case Pause:
		return p.SetPaused(!s.ends)
	case BlockUpdates:
		if a.rig.SetUpdatesBlocked == nil {
			return nil
		}
		return a.rig.SetUpdatesBlocked(node, !s.ends)
	}
	if !s.ends {
		p.Kill()
		return nil
	}
	if a.isKilled(node) {
		return nil
	}
	if s.fault.Kind == KillAndErase {
		if err := p.EraseState(); err != nil {
			return err
		}
	}
	a.starts.Go(func() { // the script continues while the process starts
		if err := p.Start(ctx); err != nil {
			a.errs <- err
		}
	})
	return nil
}

// isKilled reports whether an active Kill or KillAndErase fault includes the process.
func (a *faultScript) isKilled(node int) bool {
	for i := range a.script {
		f := &a.script[i]
		if a.active[f] && (f.Kind == Kill || f.Kind == KillAndErase) && slices.Contains(f.Nodes, node) {
			return true
		}
	}
	return false
}

// setServerLinks sets the links of a process to servers to the combined state of all active faults.
func (a *faultScript) setServerLinks(node int) {
	for server, l := range a.rig.ServerLinks[node] {
		var link Link
		for i := range a.script {
			if f := &a.script[i]; a.active[f] && slices.Contains(f.Nodes, node) && f.affectsServer(server) {
				link.merge(f.link())
			}
		}
		l.SetLink(link)
	}
}

// setPeerLinks sets the links between processes to the combined state of all active faults.
func (a *faultScript) setPeerLinks() {
	for i, links := range a.rig.PeerLinks {
		for j, l := range links {
			if l != nil {
				l.SetLink(a.peerLink(i, j))
			}
		}
	}
}

// peerLink returns the state of the link from process i to process j. A fault of the link from i to j also affects the
// link from j to i, with its directions swapped.
func (a *faultScript) peerLink(i, j int) (link Link) {
	for k := range a.script {
		f := &a.script[k]
		if !a.active[f] {
			continue
		}
		if slices.Contains(f.Nodes, i) && slices.Contains(f.Peers, j) {
			link.merge(f.link())
		}
		if slices.Contains(f.Nodes, j) && slices.Contains(f.Peers, i) {
			link.merge(f.link().reversed())
		}
	}
	return link
}
