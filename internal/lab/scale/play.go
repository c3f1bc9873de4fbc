package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
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

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publishChanges publishes a step's versions, one after the other, each once all act on the one before or the step's wait is
// over.
func (w *player) publishChanges(ctx context.Context, s Step) error {
	var published []float64
	took := map[Role][]float64{}
	for range s.Count {
		base := w.version
		began, err := w.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
			if s.Kind == KindList {
				return w.client.PublishChange(ctx, id, base, w.plan.Content.deltaFile(w.changes+1))
			}
			return w.client.Publish(ctx, id, base, w.plan.Content.bundle(w.nodeCount(), w.settings.next(s.Contradicts)))
		})
		if err != nil {
			return err
		}
		published = append(published, milliseconds(agent.BootTime()-began))
		if w.changes++; s.Kind == KindSettings {
			w.settings = w.settings.next(s.Contradicts)
		}
		states, err := w.awaitVersion(ctx, w.version, s.Timeout)
		if err != nil {
			return err
		}
		w.recordLate(s, states)
		w.addInForceTimes(took, states, began)
	}
	w.figures.add(s.Name+".operator.published", "ms", float64(w.size), mean(published))
	w.addPercentiles(s, "in_force", took)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// addInForceTimes adds, by role, how long after a moment each node that acts on the last version took it.
func (w *player) addInForceTimes(took map[Role][]float64, states [][]State, began time.Duration) {
	for i, list := range states {
		for _, n := range list {
			if n.ActsOn(w.version) && n.AppliedAt > began {
				role := w.members[i].role
				took[role] = append(took[role], milliseconds(n.AppliedAt-began))
			}
		}
	}
}

// addPercentiles adds the figures of addPercentiles, by role.
func (w *player) addPercentiles(s Step, what string, took map[Role][]float64) {
	for role, list := range took {
		slices.Sort(list)
		for _, q := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"worst", 1}} {
			at := max(0, int(math.Ceil(q.share*float64(len(list))))-1)
			w.figures.add(fmt.Sprintf("%s.%s.%s_%s", s.Name, role, what, q.name), "ms", float64(w.size), list[at])
		}
	}
}

// lateNodes gives the nodes that don't act on a version.
func lateNodes(states [][]State, number uint64) (list []State) {
	for _, of := range states {
		for _, n := range of {
			if !n.ActsOn(number) {
				list = append(list, n)
			}
		}
	}
	return list
}

// maxLateNames is how many nodes are named that were not told.
const maxLateNames = 8

// recordLate takes down the nodes that don't act on the last version.
func (w *player) recordLate(s Step, states [][]State) {
	late := lateNodes(states, w.version)
	if len(late) == 0 {
		return
	}
	u := LateNodes{Step: s.Name, Size: w.size, Count: len(late), ByRegion: make([]int, w.plan.Regions)}
	for _, n := range late {
		if u.ByRegion[n.Region]++; len(u.Nodes) < maxLateNames {
			u.Nodes = append(u.Nodes, n.Node)
		}
	}
	w.figures.Late = append(w.figures.Late, u)
}

// restart restarts some hollow nodes at once and waits until they act again.
func (w *player) restart(ctx context.Context, s Step) error {
	chosen := map[string]bool{}
	for _, i := range w.rng.Perm(w.size) {
		if s.Zone >= 0 && i%w.plan.Zones == s.Zone || s.Zone < 0 && len(chosen) < int(math.Ceil(s.Fraction*float64(w.size))) {
			chosen[nodeName(i)] = true
		}
	}
	first := 0
	began := agent.BootTime()
	if _, err := w.members.call(ctx, func(m *member) *Command {
		if m.role != NodeRole {
			return nil
		}
		c := &Command{Op: OpRestart, EmptyStores: s.EmptyStores}
		for i := first; i < first+m.nodeCount; i++ {
			if name := nodeName(i); chosen[name] {
				c.Nodes = append(c.Nodes, name)
			}
		}
		first += m.nodeCount
		return c
	}); err != nil {
		return err
	}
	w.figures.add(s.Name+".node.restarted", "nodes", float64(w.size), float64(len(chosen)))
	return w.awaitRecovery(ctx, s, began)
}

// awaitRecovery waits until all nodes act on the last version, and says how long those took that had not.
func (w *player) awaitRecovery(ctx context.Context, s Step, began time.Duration) error {
	states, err := w.awaitVersion(ctx, w.version, s.Timeout)
	if err != nil {
		return err
	}
	w.recordLate(s, states)
	took := map[Role][]float64{}
	for i, list := range states {
		for _, n := range list {
			if n.ActsOn(w.version) && n.ChangedAt > began {
				role := w.members[i].role
				took[role] = append(took[role], milliseconds(n.ChangedAt-began))
			}
		}
	}
	w.addPercentiles(s, "back", took)
	return nil
}

// partitionRegions has the regions hear nothing of each other, and counts the nodes' leases at the end of the step's length.
func (w *player) partitionRegions(ctx context.Context, s Step) error {
	if err := w.setPartitioned(ctx, true); err != nil {
		return err
	}
	if err := pause(ctx, s.Duration); err != nil {
		return err
	}
	states, err := w.awaitVersion(ctx, 0, 0)
	if err != nil {
		return err
	}
	leased, alone := make([]int, w.plan.Regions), make([]int, w.plan.Regions)
	for _, list := range states {
		for _, n := range list {
			switch {
			case n.Disconnected:
				alone[n.Region]++
			case n.Version > 0:
				leased[n.Region]++
			}
		}
	}
	for region := range w.plan.Regions {
		key := fmt.Sprintf("%s.region%d.", s.Name, region)
		w.figures.add(key+"leased", "nodes", float64(w.size), float64(leased[region]))
		w.figures.add(key+"alone", "nodes", float64(w.size), float64(alone[region]))
	}
	return nil
}

// healRegions has the regions hear of each other again.
func (w *player) healRegions(ctx context.Context, s Step) error {
	began := agent.BootTime()
	if err := w.setPartitioned(ctx, false); err != nil {
		return err
	}
	return w.awaitRecovery(ctx, s, began)
}

// restartAll stops all hollow nodes and starts them at once.
func (w *player) restartAll(ctx context.Context, s Step) error {
	hollow := w.members.withRole(NodeRole)
	if _, err := hollow.call(ctx, toAll(Command{Op: OpStop})); err != nil {
		return err
	}
	began := agent.BootTime()
	if _, err := hollow.call(ctx, toAll(Command{Op: OpStart, EmptyStores: s.EmptyStores})); err != nil {
		return err
	}
	return w.awaitRecovery(ctx, s, began)
}
