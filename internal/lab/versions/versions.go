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

// Experiment describes a run of real processes that agree on versions. Each version has a stamp, a number that attempts
// by this version carry to the servers. In each version another server is draining, unless a release is played.
type Experiment struct {
	Seed          uint64
	Nodes, Voters int // the first Voters nodes are the voters
	Servers       int
	Count         int           // versions to publish, evenly over Length, or as fast as they come into force
	Length        time.Duration // period of the faults; the run lasts until all processes act on the last version
	Faults        int           // number of random faults
	Release       bool          // instead of publishing versions, plays a release of all servers
	PowerLoss     bool          // all processes lose power twice and start again one by one, instead of random faults
	Lease         lease.Config
	Rate          float64 // requests per second, over all processes
	SkewClocks    bool    // the clocks for leases are fast, slow and exact in turn by node, by Lease.MaxClockDrift
	// Programs holds, by node, the commands of nodes that run another program than the command passed to Play.
	Programs map[int][]string
}

// program returns the command that starts a node's program; command is the default.
func (e *Experiment) program(node int, command []string) []string {
	if own, ok := e.Programs[node]; ok {
		return own
	}
	return command
}

// Outcome is the result of an experiment.
type Outcome struct {
	Script    []fleet.Fault
	Bound     time.Duration // maximum for Contradiction.Longest
	Published int
	// ActivationTimes holds the times from the publication of a version until the version was in force, ascending and
	// without the first version. For a release it holds only the duration of the release.
	ActivationTimes []time.Duration
	Asked, Served, Rejected,
	Failed int // numbers of requests
	fleet.Contradiction
	Owners   int             // successive owners of the release task
	Answers  int             // answers of owners; they are linearizable unless Findings has a finding
	NoOwner  time.Duration   // longest time from the last answer of an owner to the first answer of the next owner
	Findings []fleet.Finding // violated rules
}

// Play plays an experiment. dir is the folder for the files of the processes; command, with env added to the environment,
// starts a process.
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
	r.completeOutcome()
	return &r.outcome, nil
}

// play publishes versions or plays a release, under load and with the script's faults. After the faults have ended it waits
// until all processes act on the last version, and checks the voters' history.
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
	go func() { faults <- r.rig.ApplyFaults(ctx, began, r.outcome.Script) }()
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

// drawScript draws the run's faults from its seed.
func (r *run) drawScript() []fleet.Fault {
	if r.PowerLoss {
		return fleet.RandomPowerLoss(r.Seed, r.Nodes, r.Voters, r.Length)
	}
	return fleet.RandomPeerFaults(r.Seed, r.Faults, r.Nodes, r.Voters, r.Length)
}
