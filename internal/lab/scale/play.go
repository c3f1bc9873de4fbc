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

// Options are what a run is played with.
type Options struct {
	Dir      string   // for the processes' folders
	Command  []string // that starts the program
	Env      []string
	Progress func(format string, args ...any) // of progress
}

// Play plays a plan at all its sizes.
func Play(ctx context.Context, p *Plan, o Options) (*Figures, error) {
	ctx, stop := context.WithTimeoutCause(ctx, p.Timeout, fmt.Errorf("the run is not over within its limit of %v", p.Timeout))
	defer stop()
	f := &Figures{
		Name: p.Name, Description: p.Description, Seed: p.Seed, Sizes: p.Sizes, Voters: p.Voters, ServeProcesses: p.ServeProcesses, Regions: p.Regions, Zones: p.Zones,
		TLS: p.TLS, Lease: p.Lease.Duration.String(), Renew: p.Lease.RenewInterval().String(), Content: p.Content, CounterNotes: counterNotes, Series: map[string]*Series{},
		Machine: Machine{Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()},
	}
	memory, err := machineMemory()
	if err != nil {
		return nil, err
	}
	f.Machine.MemoryMB = memory >> 20
	if f.Machine.StoreFileSystem, err = fileSystem(o.Dir); err != nil {
		return nil, err
	}
	if _, err := files.Unbundle(p.Content.bundle(2, firstSettings)); err != nil {
		return nil, fmt.Errorf("%s: content: a node would refuse it: %w", p.Name, err)
	}
	for _, size := range p.Sizes {
		f.Machine.LoadAverages = append(f.Machine.LoadAverages, loadAverage())
		if err := playSize(ctx, p, size, memory/2, o, f); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = errors.Join(cause, err)
			}
			return nil, fmt.Errorf("%d nodes: %w", size, err)
		}
	}
	f.finish()
	return f, nil
}

// player plays a plan's steps at a size.
type player struct {
	*rig
	progress    func(format string, args ...any)
	figures     *Figures
	memoryLimit int64 // that all processes may have together
	rng         *rand.Rand
	settings    settings
	changes     int
	version     uint64  // of the version that was published last
	idleRates   []usage // by process: what it uses while nothing changes
}

func playSize(ctx context.Context, p *Plan, size int, memory int64, o Options, f *Figures) error {
	dir := filepath.Join(o.Dir, fmt.Sprint("size-", size))
	r, err := newRig(ctx, p, size, dir, o.Command, o.Env)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer r.close()
	w := &player{rig: r, progress: o.Progress, figures: f, memoryLimit: memory, rng: rand.New(rand.NewPCG(p.Seed, uint64(size))), settings: firstSettings}
	if err := w.publishFirst(ctx); err != nil {
		return err
	}
	for _, s := range p.Steps {
		if err := w.step(ctx, s); err != nil {
			return fmt.Errorf("step %s: %w", s.Name, err)
		}
	}
	return nil
}

// startTimeout is how long the fleet has to act on its first version.
const startTimeout = 5 * time.Minute

// publishFirst publishes the first version and waits until all nodes act on it.
func (w *player) publishFirst(ctx context.Context) error {
	began := time.Now()
	if _, err := w.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
		return w.client.Publish(ctx, id, 0, w.plan.Content.bundle(w.nodeCount(), w.settings))
	}); err != nil {
		return err
	}
	states, err := w.awaitVersion(ctx, w.version, startTimeout)
	if err != nil {
		return err
	}
	if late := lateNodes(states, w.version); len(late) > 0 {
		return fmt.Errorf("%d nodes, %s among them, do not act on the first version within %v", len(late), late[0].Node, startTimeout)
	}
	w.progress("%d nodes: all act on the first version %v after it was asked for", w.size, time.Since(began).Round(time.Millisecond))
	return nil
}

// publishTimeout is how long it may take until a version is taken up.
const publishTimeout = time.Minute

// publish has a version taken up, and gives when it was asked for.
func (w *player) publish(ctx context.Context, do func(ctx context.Context, id string) (*agent.PublishReply, error)) (began time.Duration, err error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	id := agent.NewID()
	began = agent.BootTime()
	for {
		published, err := do(ctx, id)
		switch {
		case err == nil && published.Number > 0:
			w.version = published.Number
			return began, nil
		case err == nil && !published.Retry:
			return 0, fmt.Errorf("nothing is published: %s", published.Error)
		case err == nil:
			err = errors.New(published.Error)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("it is not taken up within %v: %w", publishTimeout, err)
		case <-time.After(20 * time.Millisecond): // the voters elect a leader, or another version waits
		}
	}
}

// step plays a step and measures it.
func (w *player) step(ctx context.Context, s Step) error {
	before, err := w.reports(ctx)
	if err != nil {
		return err
	}
	switch s.Kind {
	case KindIdle:
		err = pause(ctx, s.Duration)
	case KindSettings, KindList:
		err = w.publishChanges(ctx, s)
	case KindRestart:
		err = w.restart(ctx, s)
	case KindPartition:
		err = w.partitionRegions(ctx, s)
	case KindHeal:
		err = w.healRegions(ctx, s)
	case KindRestartAll:
		err = w.restartAll(ctx, s)
	}
	if err != nil {
		return err
	}
	after, err := w.reports(ctx)
	if err != nil {
		return err
	}
	total := int64(0)
	for _, r := range after {
		total += r.Memory
	}
	if total > w.memoryLimit {
		return fmt.Errorf("all processes have %d MB, and half of the machine's memory is %d: choose smaller sizes", total>>20, w.memoryLimit>>20)
	}
	w.measure(s, before, after)
	w.progress("%d nodes: step %s, %v, all processes have %d MB", w.size, s.Name, (after[0].At - before[0].At).Round(time.Millisecond), total>>20)
	return nil
}
