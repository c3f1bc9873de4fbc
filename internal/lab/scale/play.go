package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
)

const (
	startTimeout         = 5 * time.Minute // maximum wait until all nodes act on the first version
	publishTimeout       = time.Minute     // maximum wait until the voters accept a version
	publishRetryInterval = 20 * time.Millisecond
)

// Options are the options of a run that its plan does not set.
type Options struct {
	Dir      string                           // folder in which the processes' folders are created
	Command  []string                         // command that starts the program, to which arguments are appended
	Env      []string                         // added to the environment of this process
	Progress func(format string, args ...any) // called with a message after the first version and after each step
}

// Play runs a plan at all its sizes and returns the figures. It returns an error and no figures if the run exceeds the
// plan's Timeout, or if its processes use more than half of the machine's memory.
func Play(ctx context.Context, plan *Plan, o Options) (*Figures, error) {
	cause := fmt.Errorf("the run did not finish within its limit of %v", plan.Timeout)
	ctx, stop := context.WithTimeoutCause(ctx, plan.Timeout, cause)
	defer stop()
	f := newFigures(plan)
	memory, err := machineMemory()
	if err != nil {
		return nil, err
	}
	f.Machine.MemoryMB = memory >> 20
	if f.Machine.StoreFileSystem, err = fileSystem(o.Dir); err != nil {
		return nil, err
	}
	if _, err := files.Unbundle(plan.Content.bundle(2, firstSettings)); err != nil {
		return nil, fmt.Errorf("%s: content: a node would reject the configuration: %w", plan.Name, err)
	}
	for _, size := range plan.Sizes {
		f.Machine.LoadAverages = append(f.Machine.LoadAverages, loadAverage())
		if err := playSize(ctx, plan, size, memory/2, o, f); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = errors.Join(cause, err)
			}
			return nil, fmt.Errorf("%d nodes: %w", size, err)
		}
	}
	f.finish()
	return f, nil
}

// newFigures returns figures without series, with the properties of a run that are known before its start.
func newFigures(plan *Plan) *Figures {
	return &Figures{
		Name: plan.Name, Description: plan.Description, Seed: plan.Seed, Sizes: plan.Sizes,
		Voters: plan.Voters, ServeProcesses: plan.ServeProcesses, Regions: plan.Regions, Zones: plan.Zones,
		TLS: plan.TLS, Lease: plan.Lease.Duration.String(), Renew: plan.Lease.RenewInterval().String(),
		Content: plan.Content, CounterNotes: counterNotes, Series: map[string]*Series{},
		Machine: Machine{
			Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version(),
		},
	}
}

// player runs a plan's steps at one size.
type player struct {
	*rig
	progress    func(format string, args ...any)
	figures     *Figures
	memoryLimit int64 // maximum resident memory of all processes together, in bytes
	rng         *rand.Rand
	settings    settings // settings of the last published version
	changes     int      // number of versions published after the first version
	version     uint64   // number of the last published version
	idleRates   []usage  // use per second of each process in the last idle step; nil before the first idle step
}

// playSize starts a fleet of the given size, runs all steps of the plan on it, and adds their figures to f. memoryLimit is
// in bytes.
func playSize(ctx context.Context, plan *Plan, size int, memoryLimit int64, o Options, f *Figures) error {
	dir := filepath.Join(o.Dir, fmt.Sprint("size-", size))
	r, err := newRig(ctx, plan, size, dir, o.Command, o.Env)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer r.close()
	p := &player{
		rig: r, progress: o.Progress, figures: f, memoryLimit: memoryLimit, settings: firstSettings,
		rng: rand.New(rand.NewPCG(plan.Seed, uint64(size))),
	}
	if err := p.publishFirst(ctx); err != nil {
		return err
	}
	for _, s := range plan.Steps {
		if err := p.step(ctx, s); err != nil {
			return fmt.Errorf("step %s: %w", s.Name, err)
		}
	}
	return nil
}

// publishFirst publishes the first version and waits until all nodes act on it.
func (p *player) publishFirst(ctx context.Context) error {
	began := time.Now()
	_, err := p.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
		return p.client.Publish(ctx, id, 0, p.plan.Content.bundle(p.nodeCount(), p.settings))
	})
	if err != nil {
		return err
	}
	states, err := p.awaitVersion(ctx, p.version, startTimeout)
	if err != nil {
		return err
	}
	if late := lateNodes(states, p.version); len(late) > 0 {
		return fmt.Errorf("%d nodes, such as %s, do not act on the first version within %v",
			len(late), late[0].Node, startTimeout)
	}
	took := time.Since(began).Round(time.Millisecond)
	p.progress("%d nodes: all act on the first version %v after the first request to publish it", p.size, took)
	return nil
}

// publishFunc asks the voters to publish a version. id identifies the publication and is the same in each attempt.
type publishFunc func(ctx context.Context, id string) (*agent.PublishReply, error)

// publish repeats a request to publish a version until the voters accept it. began is the time of the first attempt, since
// the machine's boot.
func (p *player) publish(ctx context.Context, request publishFunc) (began time.Duration, err error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	id := agent.NewID()
	began = agent.BootTime()
	for {
		reply, err := request(ctx, id)
		switch {
		case err == nil && reply.Number > 0:
			p.version = reply.Number
			return began, nil
		case err == nil && !reply.Retry:
			return 0, fmt.Errorf("the version was rejected: %s", reply.Error)
		case err == nil:
			err = errors.New(reply.Error)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("the voters did not accept the version within %v: %w", publishTimeout, err)
		case <-time.After(publishRetryInterval): // until the voters have a leader and no other version is pending
		}
	}
}

// step runs a step and adds its figures. It returns an error if the processes use more than memoryLimit afterwards.
func (p *player) step(ctx context.Context, s Step) error {
	before, err := p.reports(ctx)
	if err != nil {
		return err
	}
	if err := p.execute(ctx, s); err != nil {
		return err
	}
	after, err := p.reports(ctx)
	if err != nil {
		return err
	}
	total := int64(0)
	for _, r := range after {
		total += r.Memory
	}
	if total > p.memoryLimit {
		return fmt.Errorf("all processes use %d MB; at most %d MB, half of the machine's memory, are allowed: use smaller sizes",
			total>>20, p.memoryLimit>>20)
	}
	p.measure(s, before, after)
	took := (after[0].At - before[0].At).Round(time.Millisecond)
	p.progress("%d nodes: step %s took %v, all processes together use %d MB of memory", p.size, s.Name, took, total>>20)
	return nil
}
