package versions

import (
	"context"
	"errors"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/lease"
)

// Experiment is a run of real processes. Each version bears a number, its stamp, which its attempts carry to the
// servers, and has another server draining.
type Experiment struct {
	Seed          uint64
	Nodes, Voters int // the first Voters of the nodes vote
	Servers       int
	Count         int           // versions to publish, evenly over the length, or as fast as they come into force
	Length        time.Duration // of the faults; the run goes on until all is published, and some time after
	Faults        int           // how many are drawn
	Release       bool          // instead of versions, a release takes each server out of service and back
	PowerLoss     bool          // instead of drawn faults, all processes lose power twice, and start again one by one
	Lease         lease.Config
	Rate          float64 // requests a second, over all processes
	SkewClocks    bool    // the processes' clocks for leases are fast and slow in turn, by as much as the lease allows
	// Programs are commands that start a node's program, by node, where that is another than Play is given.
	Programs map[int][]string
}

// program returns the command that starts a node's program.
func (e *Experiment) program(node int, command []string) []string {
	if own, ok := e.Programs[node]; ok {
		return own
	}
	return command
}

// Outcome is the result of an experiment.
type Outcome struct {
	Script    []fleet.Fault
	Bound     time.Duration // of a contradiction
	Published int
	// ActivationTimes are the times from a version's publication to its being in force, ascending.
	ActivationTimes []time.Duration
	Asked, Served, Rejected,
	Failed int // requests
	fleet.Contradiction
	Owners   int             // of the releases, one after the other
	Answers  int             // of owners; one order explains them unless Findings says otherwise
	NoOwner  time.Duration   // longest time from the last answer of one owner to the first of the next
	Findings []fleet.Finding // rules that were broken
}

// Play plays an experiment in a folder, with processes that a command starts.
func Play(ctx context.Context, e Experiment, dir string, command, env []string) (*Outcome, error) {
	r, err := newRun(e, dir, command, env)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.configure(ctx, command, env); err != nil {
		return nil, err
	}
	if err := r.rig.Start(ctx); err != nil {
		return nil, err
	}
	if r.agent, err = agent.NewClient(configurationName, r.voters(), nil); err != nil {
		return nil, err
	}
	defer r.agent.Close()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.judge()
	return &r.outcome, nil
}

// play publishes under load while the script's faults befall the processes. Once the faults are over it waits until all
// processes act on the last version.
func (r *run) play(ctx context.Context) error {
	if _, err := r.publish(ctx, 1); err != nil {
		return err
	}
	r.outcome.Script = r.drawScript()
	began := time.Now()
	loadContext, cancelLoad := context.WithCancel(ctx)
	defer cancelLoad()
	var load sync.WaitGroup
	load.Go(func() { r.load(loadContext) })
	for voter := range r.Voters {
		load.Go(func() { r.pollOwnership(loadContext, voter) })
	}
	faults := make(chan error, 1)
	go func() { faults <- r.rig.Play(ctx, began, r.outcome.Script) }()
	lastStamp, err := r.publishAll(ctx, began)
	err = errors.Join(err, <-faults)
	if err == nil {
		err = r.awaitConvergence(ctx, lastStamp)
	}
	if err == nil {
		err = r.checkHistory(ctx)
	}
	cancelLoad()
	load.Wait()
	return err
}

// drawScript draws the faults.
func (r *run) drawScript() []fleet.Fault {
	if r.PowerLoss {
		return fleet.DrawPower(r.Seed, r.Nodes, r.Voters, r.Length)
	}
	return fleet.DrawPeers(r.Seed, r.Faults, r.Nodes, r.Voters, r.Length)
}
