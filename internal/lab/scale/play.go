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
	Dir     string   // for the processes' folders
	Command []string // that starts the program
	Env     []string
	Tell    func(format string, args ...any) // of progress
}

// Play plays a plan at all its sizes.
func Play(ctx context.Context, p *Plan, o Options) (*Figures, error) {
	ctx, stop := context.WithTimeoutCause(ctx, p.Limit, fmt.Errorf("the run is not over within its limit of %v", p.Limit))
	defer stop()
	f := &Figures{
		Name: p.Name, Says: p.Says, Seed: p.Seed, Sizes: p.Sizes, Voters: p.Voters, Serves: p.Serves, Regions: p.Regions, Zones: p.Zones,
		TLS: p.TLS, Lease: p.Terms.Duration.String(), Renew: p.Terms.RenewInterval().String(), Content: p.Content, Counts: counts, Series: map[string]*Series{},
		Machine: Machine{Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()},
	}
	memory, err := machineMemory()
	if err != nil {
		return nil, err
	}
	f.Machine.MemoryMB = memory >> 20
	if f.Machine.Stores, err = fileSystem(o.Dir); err != nil {
		return nil, err
	}
	if _, err := files.Unbundle(p.Content.bundle(2, first)); err != nil {
		return nil, fmt.Errorf("%s: content: a node would refuse it: %w", p.Name, err)
	}
	for _, size := range p.Sizes {
		f.Machine.Load = append(f.Machine.Load, load())
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
	tell     func(format string, args ...any)
	figures  *Figures
	memory   int64 // that all processes may have together
	rng      *rand.Rand
	settings settings
	changes  int
	number   uint64 // of the version that was published last
	idle     []rate // by process: what it uses while nothing changes
}

func playSize(ctx context.Context, p *Plan, size int, memory int64, o Options, f *Figures) error {
	dir := filepath.Join(o.Dir, fmt.Sprint("size-", size))
	r, err := newRig(ctx, p, size, dir, o.Command, o.Env)
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer r.close()
	w := &player{rig: r, tell: o.Tell, figures: f, memory: memory, rng: rand.New(rand.NewPCG(p.Seed, uint64(size))), settings: first}
	if err := w.begin(ctx); err != nil {
		return err
	}
	for _, s := range p.Steps {
		if err := w.step(ctx, s); err != nil {
			return fmt.Errorf("step %s: %w", s.Name, err)
		}
	}
	return nil
}

// startFor is how long the fleet has to act on its first version.
const startFor = 5 * time.Minute

// begin publishes the first version and waits until all nodes act on it.
func (w *player) begin(ctx context.Context) error {
	began := time.Now()
	if _, err := w.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
		return w.client.Publish(ctx, id, 0, w.plan.Content.bundle(w.total(), w.settings))
	}); err != nil {
		return err
	}
	states, err := w.await(ctx, w.number, startFor)
	if err != nil {
		return err
	}
	if late := behind(states, w.number); len(late) > 0 {
		return fmt.Errorf("%d nodes, %s among them, do not act on the first version within %v", len(late), late[0].Node, startFor)
	}
	w.tell("%d nodes: all act on the first version %v after it was asked for", w.size, time.Since(began).Round(time.Millisecond))
	return nil
}

// publishWithin is how long it may take until a version is taken up.
const publishWithin = time.Minute

// publish has a version taken up, and gives when it was asked for.
func (w *player) publish(ctx context.Context, do func(ctx context.Context, id string) (*agent.PublishReply, error)) (began time.Duration, err error) {
	ctx, stop := context.WithTimeout(ctx, publishWithin)
	defer stop()
	id := agent.NewID()
	began = agent.BootTime()
	for {
		published, err := do(ctx, id)
		switch {
		case err == nil && published.Number > 0:
			w.number = published.Number
			return began, nil
		case err == nil && !published.Retry:
			return 0, fmt.Errorf("nothing is published: %s", published.Error)
		case err == nil:
			err = errors.New(published.Error)
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("it is not taken up within %v: %w", publishWithin, err)
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
	case Idle:
		err = pause(ctx, s.Length)
	case Settings, List:
		err = w.change(ctx, s)
	case Restart:
		err = w.restart(ctx, s)
	case Apart:
		err = w.part(ctx, s)
	case Together:
		err = w.join(ctx, s)
	case Return:
		err = w.comeBack(ctx, s)
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
	if total > w.memory {
		return fmt.Errorf("all processes have %d MB, and half of the machine's memory is %d: choose smaller sizes", total>>20, w.memory>>20)
	}
	w.measure(s, before, after)
	w.tell("%d nodes: step %s, %v, all processes have %d MB", w.size, s.Name, (after[0].At - before[0].At).Round(time.Millisecond), total>>20)
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

// change publishes a step's versions, one after the other, each once all act on the one before or the step's wait is
// over.
func (w *player) change(ctx context.Context, s Step) error {
	var published []float64
	took := map[Role][]float64{}
	for range s.Count {
		base := w.number
		began, err := w.publish(ctx, func(ctx context.Context, id string) (*agent.PublishReply, error) {
			if s.Kind == List {
				return w.client.PublishChange(ctx, id, base, w.plan.Content.change(w.changes+1))
			}
			return w.client.Publish(ctx, id, base, w.plan.Content.bundle(w.total(), w.settings.next(s.Contradicts)))
		})
		if err != nil {
			return err
		}
		published = append(published, milliseconds(agent.BootTime()-began))
		if w.changes++; s.Kind == Settings {
			w.settings = w.settings.next(s.Contradicts)
		}
		states, err := w.await(ctx, w.number, s.Wait)
		if err != nil {
			return err
		}
		w.untold(s, states)
		w.gather(took, states, began)
	}
	w.figures.add(s.Name+".operator.published", "ms", float64(w.size), mean(published))
	w.times(s, "in_force", took)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// gather adds, by role, how long after a moment each node that acts on the last version took it.
func (w *player) gather(took map[Role][]float64, states [][]State, began time.Duration) {
	for i, list := range states {
		for _, n := range list {
			if n.On(w.number) && n.Took > began {
				role := w.members[i].role
				took[role] = append(took[role], milliseconds(n.Took-began))
			}
		}
	}
}

// times adds the figures of times, by role.
func (w *player) times(s Step, what string, took map[Role][]float64) {
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

// behind gives the nodes that don't act on a version.
func behind(states [][]State, number uint64) (list []State) {
	for _, of := range states {
		for _, n := range of {
			if !n.On(number) {
				list = append(list, n)
			}
		}
	}
	return list
}

// untoldMost is how many nodes are named that were not told.
const untoldMost = 8

// untold takes down the nodes that don't act on the last version.
func (w *player) untold(s Step, states [][]State) {
	late := behind(states, w.number)
	if len(late) == 0 {
		return
	}
	u := Untold{Step: s.Name, Size: w.size, Count: len(late), By: make([]int, w.plan.Regions)}
	for _, n := range late {
		if u.By[n.Region]++; len(u.Nodes) < untoldMost {
			u.Nodes = append(u.Nodes, n.Node)
		}
	}
	w.figures.Untold = append(w.figures.Untold, u)
}

// restart restarts some hollow nodes at once and waits until they act again.
func (w *player) restart(ctx context.Context, s Step) error {
	chosen := map[string]bool{}
	for _, i := range w.rng.Perm(w.size) {
		if s.Zone >= 0 && i%w.plan.Zones == s.Zone || s.Zone < 0 && len(chosen) < int(math.Ceil(s.Share*float64(w.size))) {
			chosen[nodeName(i)] = true
		}
	}
	first := 0
	began := agent.BootTime()
	if _, err := w.members.ask(ctx, func(m *member) *Command {
		if m.role != NodeRole {
			return nil
		}
		c := &Command{Op: OpRestart, Empty: s.Empty}
		for i := first; i < first+m.nodes; i++ {
			if name := nodeName(i); chosen[name] {
				c.Nodes = append(c.Nodes, name)
			}
		}
		first += m.nodes
		return c
	}); err != nil {
		return err
	}
	w.figures.add(s.Name+".node.restarted", "nodes", float64(w.size), float64(len(chosen)))
	return w.back(ctx, s, began)
}

// back waits until all nodes act on the last version, and says how long those took that had not.
func (w *player) back(ctx context.Context, s Step, began time.Duration) error {
	states, err := w.await(ctx, w.number, s.Wait)
	if err != nil {
		return err
	}
	w.untold(s, states)
	took := map[Role][]float64{}
	for i, list := range states {
		for _, n := range list {
			if n.On(w.number) && n.At > began {
				role := w.members[i].role
				took[role] = append(took[role], milliseconds(n.At-began))
			}
		}
	}
	w.times(s, "back", took)
	return nil
}

// part has the regions hear nothing of each other, and counts the nodes' leases at the end of the step's length.
func (w *player) part(ctx context.Context, s Step) error {
	if err := w.apart(ctx, true); err != nil {
		return err
	}
	if err := pause(ctx, s.Length); err != nil {
		return err
	}
	states, err := w.await(ctx, 0, 0)
	if err != nil {
		return err
	}
	leased, alone := make([]int, w.plan.Regions), make([]int, w.plan.Regions)
	for _, list := range states {
		for _, n := range list {
			switch {
			case n.Alone:
				alone[n.Region]++
			case n.Number > 0:
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

// join has the regions hear of each other again.
func (w *player) join(ctx context.Context, s Step) error {
	began := agent.BootTime()
	if err := w.apart(ctx, false); err != nil {
		return err
	}
	return w.back(ctx, s, began)
}

// comeBack stops all hollow nodes and starts them at once.
func (w *player) comeBack(ctx context.Context, s Step) error {
	hollow := w.members.of(NodeRole)
	if _, err := hollow.ask(ctx, same(Command{Op: OpStop})); err != nil {
		return err
	}
	began := agent.BootTime()
	if _, err := hollow.ask(ctx, same(Command{Op: OpStart, Empty: s.Empty})); err != nil {
		return err
	}
	return w.back(ctx, s, began)
}
