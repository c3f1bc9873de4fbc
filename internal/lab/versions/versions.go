package versions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/lease"
)

// Experiment is a run of real processes that agree on versions while parts of them fail. Every version contradicts
// every other one: each bears a number that its attempts carry to the servers, and has another server out.
type Experiment struct {
	Seed          uint64
	Nodes, Voters int
	Boxes         int
	Count         int           // versions to publish, evenly over the length, or as fast as they come into force
	Length        time.Duration // of the faults; the run goes on until all is published, and some time after
	Faults        int           // drawn
	Release       bool          // instead of versions a release takes each server out and back
	Power         bool          // instead of drawn faults all processes lose power twice, and come back one by one
	Terms         lease.Config
	Rate          float64 // requests a second, over all processes
	Clocks        bool    // the processes' clocks for leases are fast and slow in turn, by as much as the terms allow
	// Programs are commands that start a node's program, by node, where that is another than Play is given.
	Programs map[int][]string
}

// Outcome is what came of it.
type Outcome struct {
	Script    []fleet.Fault
	Bound     time.Duration
	Published int
	Times     []time.Duration // from a version's publish to its being in force, ascending
	Asked, Served, Refused,
	Failed int
	fleet.Contradiction
	Owners  int           // of the releases, one after the other
	Answers int           // of owners, which one order explains unless Found says otherwise
	NoOwner time.Duration // longest time from the last word of one to the first of the next
	Found   []fleet.Finding
}

const (
	versionSettle = 10 * time.Second // for all to act on the last version once all is well
	versionWait   = 20 * time.Second // for one version
	versionSlack  = 500 * time.Millisecond
	versionOpen   = 512 // requests open at once
)

// versionClasses are the classes of the run, in the order of their paths.
var versionClasses = []string{"read", "push", "order"}

type versionRun struct {
	Experiment
	rig    *fleet.Rig
	boxes  []*http.Server
	addrs  []string
	asked  []string // voters' own addresses; "" for others
	client *http.Client
	out    Outcome

	asks, served, refused, failed atomic.Int64
	acked                         map[uint64]string // ids of versions that were acknowledged, by number
	news                          chan struct{}     // something was served
	mu                            sync.Mutex
	last                          map[int]int // by process: the stamp of the last request that it had served
}

// Play plays a run in a folder, with processes started by a command.
func Play(ctx context.Context, v Experiment, dir string, command, env []string) (out *Outcome, err error) {
	r := &versionRun{Experiment: v, last: map[int]int{}, acked: map[uint64]string{}, news: make(chan struct{}, 1)}
	r.client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer r.client.CloseIdleConnections()
	defer func() {
		for _, b := range r.boxes {
			b.Close()
		}
	}()
	if r.rig, err = fleet.NewRig(dir, v.Nodes, nil, fleet.ServeCommand(command), env); err != nil {
		return nil, err
	}
	defer r.rig.Close()
	for i, p := range r.rig.Processes {
		p.Command = fleet.ServeCommand(v.program(i, command))
		if v.Clocks {
			rate := 1 + v.Terms.MaxClockDrift*[]float64{1, -1, 0}[i%3]
			p.Command = slices.Concat(v.program(i, command), []string{"lab", "serve", fmt.Sprint("--rate=", rate), "-c"})
		}
	}
	r.rig.Record.Begin(time.Now())
	for i := range v.Boxes {
		if err := r.box(i); err != nil {
			return nil, err
		}
	}
	if err := r.configure(ctx, command, env); err != nil {
		return nil, err
	}
	if err := r.rig.Start(ctx); err != nil {
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	r.judge()
	return &r.out, nil
}

// program is the command that starts a node's program.
func (v *Experiment) program(node int, command []string) []string {
	if own, ok := v.Programs[node]; ok {
		return own
	}
	return command
}

// box starts a server that records what comes.
func (r *versionRun) box(at int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		stamp, _ := strconv.Atoi(q.Header.Get("X-Rules"))
		r.rig.Record.Add(fleet.Event{What: fleet.Came, Who: at, ID: q.Header.Get("X-Request-Id"), Stamp: stamp})
		w.Header().Set("X-Rules", q.Header.Get("X-Rules"))
	})}
	r.boxes, r.addrs = append(r.boxes, s), append(r.addrs, l.Addr().String())
	go s.Serve(l)
	return nil
}

// configure writes each process's own file, and makes the voters' stores.
func (r *versionRun) configure(ctx context.Context, command, env []string) error {
	r.asked = make([]string, r.Nodes)
	for i, p := range r.rig.Processes[:r.Voters] {
		host, _, err := net.SplitHostPort(p.Addr)
		if err != nil {
			return err
		}
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		r.asked[i] = l.Addr().String()
		l.Close()
	}
	if err := r.rig.Connect(r.asked[:r.Voters]); err != nil {
		return err
	}
	for i, p := range r.rig.Processes {
		if err := p.WriteConfig(r.file(i, 0)); err != nil {
			return err
		}
		if i >= r.Voters {
			continue
		}
		program := r.program(i, command)
		c := exec.CommandContext(ctx, program[0], slices.Concat(program[1:], []string{"fleet", "init", "-c", p.Config()})...)
		c.Env = append(os.Environ(), env...)
		if text, err := c.CombinedOutput(); err != nil {
			return fmt.Errorf("fleet init: %w: %s", err, text)
		}
	}
	return nil
}

// file is a process's own file, or that of a version.
func (r *versionRun) file(node, stamp int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[listen]\naddress = %q\n[files]\nclusters = \"clusters\"\n[limits]\nattempts = 3\nmax_retry_after = \"1s\"\n", r.rig.Processes[node].Addr)
	fmt.Fprintf(&b, "[fleet]\nnodes = %d\nnode = %d\n", r.Nodes, node)
	if stamp == 0 {
		fmt.Fprintf(&b, "[fleet.agree]\nname = \"lab\"\nnode = \"n%d\"\nlisten = %q\nlease = %q\ndrift = %v\ntake = %q\nvoters = [", node, r.asked[node], r.Terms.Duration, r.Terms.MaxClockDrift, r.Terms.ApplyTimeout)
		for v := range r.Voters {
			addr := r.asked[v]
			if v != node {
				addr = r.rig.Peers[node][v].Addr
			}
			fmt.Fprintf(&b, "%q,", fmt.Sprintf("n%d=%s", v, addr))
		}
		b.WriteString("]\n")
	}
	effects := []string{"effect = \"safe\"", "effect = \"keyed\"\nscope = \"all\"\nwindow = \"6s\"", "effect = \"unsafe\""}
	for i, name := range versionClasses {
		fmt.Fprintf(&b, "[[class]]\nname = %q\n%s\ndeadline = \"1s\"\n", name, effects[i])
	}
	b.WriteString("[[host]]\n")
	for _, name := range versionClasses {
		fmt.Fprintf(&b, "[[host.route]]\nprefix = \"/%s\"\nclass = %q\ncluster = \"rooms\"\n[host.route.request.set]\nX-Rules = \"%d\"\n", name, name, stamp)
	}
	return b.String()
}

// bundle is a version's files.
func (r *versionRun) bundle(stamp int) []config.File {
	var b strings.Builder
	b.WriteString("[cluster]\nname = \"rooms\"\n")
	for i, addr := range r.addrs {
		health := "healthy"
		if r.isOut(stamp, i) {
			health = "draining"
		}
		fmt.Fprintf(&b, "[[endpoint]]\nid = \"s-%d\"\naddress = %q\nzone = \"a\"\nweight = 1\nhealth = %q\n", i, addr, health)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(r.addrs))
	return []config.File{{Name: files.ProgramPart, Text: []byte(r.file(0, stamp))}, {Name: "rooms.toml", Text: []byte(b.String())}}
}

// isOut tells whether a version has a server out.
func (r *versionRun) isOut(stamp, box int) bool { return !r.Release && stamp%r.Boxes == box }

// play publishes under load while the script's faults befall the processes.
func (r *versionRun) play(ctx context.Context) error {
	c, err := agent.NewClient("lab", r.voters(), nil)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := r.publish(ctx, c, 1); err != nil {
		return err
	}
	r.out.Script = fleet.DrawPeers(r.Seed, r.Faults, r.Nodes, r.Voters, r.Length)
	if r.Power {
		r.out.Script = fleet.DrawPower(r.Seed, r.Nodes, r.Voters, r.Length)
	}
	began := time.Now()
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	var run sync.WaitGroup
	run.Go(func() { r.load(loaded) })
	for i := range r.Voters {
		run.Go(func() { r.probe(loaded, c, i) })
	}
	played := make(chan error, 1)
	go func() { played <- r.rig.Play(ctx, began, r.out.Script) }()
	last := 1
	if r.Release {
		err = r.release(ctx, c)
	}
	for stamp := 2; stamp <= r.Count && err == nil && !r.Release; stamp++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(r.Length * time.Duration(stamp-1) / time.Duration(r.Count)))):
		}
		var took time.Duration
		if took, err = r.publish(ctx, c, stamp); err == nil {
			r.out.Times, last = append(r.out.Times, took), stamp
		}
	}
	err = errors.Join(err, <-played)
	if err == nil {
		err = r.settled(ctx, last)
	}
	if err == nil {
		err = r.kept(ctx, c)
	}
	stop()
	run.Wait()
	return err
}

func (r *versionRun) voters() (list []agent.Voter) {
	for i := range r.Voters {
		list = append(list, agent.Voter{Name: fmt.Sprint("n", i), Address: r.asked[i]})
	}
	return list
}

// publish publishes a version and waits until it is in force.
func (r *versionRun) publish(ctx context.Context, c *agent.Client, stamp int) (time.Duration, error) {
	ctx, stop := context.WithTimeout(ctx, versionWait)
	defer stop()
	id, began := agent.NewID(), time.Now()
	for {
		s, err := c.LatestStatus(ctx)
		if err == nil {
			var p *agent.PublishReply
			if p, err = c.Publish(ctx, id, s.LogStatus.ActiveVersion, r.bundle(stamp)); err == nil && p.Number > 0 {
				r.out.Published++
				r.acked[p.Number] = id
				o, err := c.WaitForVersion(ctx, p.Number, func(agent.PublishOutcome) {})
				if err != nil || !o.InForce {
					return 0, fmt.Errorf("version %d: %+v: %w", stamp, o, err)
				}
				return time.Since(began), nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("version %d is not taken up: %w", stamp, err)
		case <-time.After(20 * time.Millisecond): // the voters elect a leader
		}
	}
}

// kept looks for all versions that were acknowledged.
func (r *versionRun) kept(ctx context.Context, c *agent.Client) error {
	s, err := c.LatestStatus(ctx)
	if err != nil {
		return err
	}
	for _, m := range s.History {
		if id, acked := r.acked[m.Number]; acked && id != m.ID {
			return fmt.Errorf("version %d was acknowledged as %s and is %s", m.Number, id, m.ID)
		}
		delete(r.acked, m.Number)
	}
	for number := range r.acked {
		if len(s.History) > 0 && number >= s.History[0].Number {
			return fmt.Errorf("version %d was acknowledged and is gone", number)
		}
	}
	return nil
}

// load asks all processes, at a rate.
func (r *versionRun) load(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 40))
	t := time.NewTicker(time.Duration(float64(time.Second) / r.Rate))
	defer t.Stop()
	open := make(chan struct{}, versionOpen)
	var run sync.WaitGroup
	defer run.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		node, class := rng.IntN(r.Nodes), rng.IntN(len(versionClasses))
		select {
		case open <- struct{}{}:
			run.Go(func() {
				r.request(node, class, fmt.Sprint("r", i))
				<-open
			})
		default: // too many wait at processes that are stopped
		}
	}
}

func (r *versionRun) request(node, class int, id string) {
	method := http.MethodPost
	if class == 0 {
		method = http.MethodGet
	}
	q, err := http.NewRequest(method, "http://"+r.rig.Processes[node].Addr+"/"+versionClasses[class], nil)
	if err != nil {
		return
	}
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Timeout-Ms", "1000")
	if class == 1 {
		q.Header.Set("Idempotency-Key", id)
	}
	r.asks.Add(1)
	r.rig.Record.Add(fleet.Event{What: fleet.Asked, Who: node, ID: id, Class: class})
	a, err := r.client.Do(q)
	if err != nil {
		r.failed.Add(1)
		return
	}
	io.Copy(io.Discard, a.Body)
	a.Body.Close()
	switch a.StatusCode {
	case http.StatusOK:
		r.served.Add(1)
		if stamp, err := strconv.Atoi(a.Header.Get("X-Rules")); err == nil && class > 0 {
			r.mu.Lock()
			r.last[node] = stamp
			r.mu.Unlock()
			select {
			case r.news <- struct{}{}:
			default:
			}
		}
	case http.StatusServiceUnavailable:
		r.refused.Add(1)
	default:
		r.failed.Add(1)
	}
}

// release takes each server out and back, one after the other, and looks that each step was one version.
func (r *versionRun) release(ctx context.Context, c *agent.Client) error {
	ctx, stop := context.WithTimeout(ctx, r.Length+2*versionWait)
	defer stop()
	rel := consensus.Release{ID: "lab", Cluster: "rooms", Floor: 0.5, Drain: 100 * time.Millisecond, Restart: 100 * time.Millisecond, Warm: 100 * time.Millisecond}
	want := []string{""} // the first version
	for i := range r.Boxes {
		rel.Waves = append(rel.Waves, []string{fmt.Sprint("s-", i)})
		want = append(want, fmt.Sprintf("release/lab/%d/out", i), fmt.Sprintf("release/lab/%d/in", i))
	}
	began := time.Now()
	in, seen := agent.ReleaseCommand{Start: &rel}, 1
	for {
		out, err := c.ControlRelease(ctx, in)
		if err == nil && out.Error == "" {
			in = agent.ReleaseCommand{}
		}
		if s, err := c.LatestStatus(ctx); err == nil {
			for ; seen < len(s.History) && s.History[seen].Number <= s.LogStatus.ActiveVersion; seen++ { // it is in force
				r.rig.Record.Add(fleet.Event{What: fleet.Told, Who: (seen - 1) / 2, Over: seen%2 == 0})
				r.out.Published++
			}
			if in.Start == nil && out != nil && out.Progress != nil && out.Progress.Ended() && seen == len(s.History) {
				r.out.Times = append(r.out.Times, time.Since(began))
				if out.Progress.Result != consensus.ReleaseDone || len(s.History) != len(want) {
					return fmt.Errorf("the release ended by %q with %d versions of %d", out.Progress.Result, len(s.History), len(want))
				}
				for i, id := range want[1:] {
					if s.History[i+1].ID != id {
						return fmt.Errorf("step %d is %s, not %s", i, s.History[i+1].ID, id)
					}
				}
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the release is not over: %+v: %w", out, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// probe asks a voter again and again whether it is the owner of the releases.
func (r *versionRun) probe(ctx context.Context, c *agent.Client, at int) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	open := make(chan struct{}, 64)
	var run sync.WaitGroup
	defer run.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		run.Go(func() {
			defer func() { <-open }()
			one, stop := context.WithTimeout(ctx, 4*time.Second) // an answer of a process that woke counts
			defer stop()
			asked := r.rig.Record.Since()
			if token, err := c.OwnershipToken(one, at, agent.ReleaseTask); err == nil && token > 0 {
				r.rig.Record.Add(fleet.Event{What: fleet.Owned, Who: at, By: asked, Stamp: int(token)})
			}
		})
	}
}

// settled waits until each process has served by the last version what is not safe.
func (r *versionRun) settled(ctx context.Context, last int) error {
	ctx, stop := context.WithTimeout(ctx, versionSettle)
	defer stop()
	for {
		behind := ""
		r.mu.Lock()
		for i := range r.Nodes {
			if r.last[i] != last {
				behind += fmt.Sprintf(" n%d: %d", i, r.last[i])
			}
		}
		r.mu.Unlock()
		if behind == "" {
			return nil
		}
		select {
		case <-r.news:
		case <-ctx.Done():
			return fmt.Errorf("not on version %d, %v after all was well:%s", last, versionSettle, behind)
		}
	}
}

func (r *versionRun) judge() {
	o := &r.out
	o.Bound = r.Terms.ActivationBound()
	o.Asked, o.Served, o.Refused, o.Failed = int(r.asks.Load()), int(r.served.Load()), int(r.refused.Load()), int(r.failed.Load())
	slices.Sort(o.Times)
	events := r.rig.Record.Events()
	var owners []fleet.Finding
	o.Owners, o.NoOwner, owners = fleet.JudgeOwners(events)
	var disorder []fleet.Finding
	o.Answers, disorder = fleet.CheckOwners(events)
	defer func() { o.Found = append(append(o.Found, owners...), disorder...) }()
	o.Contradiction, o.Found = fleet.JudgeVersions(events, fleet.VersionRules{
		Safe: []bool{true, false, false}, Unsafe: []bool{false, false, true}, Out: r.isOut, Grace: 500 * time.Millisecond, Slack: versionSlack,
	})
}
