package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/fake/modelbox"
	"yokestall/internal/files"
	"yokestall/internal/fleetsim"
	"yokestall/internal/loadgen"
	"yokestall/internal/model"
	"yokestall/policy"
)

// MaxReal is how many servers a day may have on sockets.
const MaxReal = 64

const (
	generatorLate = 20 * time.Millisecond // a run is void beyond; see loadgen.Plan.MaxLateness
	mostOpen      = 4096
)

// onSockets tells whether a day's troubles can be played on sockets.
func (e *Experiment) onSockets() error {
	for i, t := range e.Day.Troubles {
		if t.Knows || t.Smaller > 0 || t.Holds {
			return fmt.Errorf("%s: trouble %d: knows, smaller and holds are of virtual time", e.Name, i+1)
		}
	}
	return nil
}

// Real plays an experiment on sockets: the program itself, stand-ins that take their service times from the
// model, and the load generator. Void tells that the generator was late itself, so that the result says
// nothing.
func Real(ctx context.Context, e *Experiment, log *slog.Logger) (o *Outcome, void bool, err error) {
	d := &e.Day
	if d.Servers > MaxReal || d.Nodes != 1 {
		return nil, false, fmt.Errorf("%s: %d servers and %d nodes; on sockets %d at most, and one node", e.Name, d.Servers, d.Nodes, MaxReal)
	}
	if slices.ContainsFunc(d.Troubles, func(t fleetsim.Trouble) bool { return t.Nodes }) {
		return nil, false, fmt.Errorf("%s: nodes die: lab fleet plays that", e.Name)
	}
	if err := e.onSockets(); err != nil {
		return nil, false, err
	}
	r := &realRun{e: e, result: &fleetsim.Result{}, ids: map[uint64]int{}}
	defer r.closeBoxes()
	for i := range d.Servers {
		if err := r.box(i, false); err != nil {
			return nil, false, err
		}
	}
	if r.program, err = config.ParseProgram("lab", []byte(e.program("127.0.0.1:0", 0))); err != nil {
		return nil, false, fmt.Errorf("%s: %w", e.Name, err)
	}
	a, err := app.New(r.version(), app.Options{Seed: e.Seed, Log: log, OnSend: r.sent})
	if err != nil {
		return nil, false, err
	}
	defer a.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, false, err
	}
	running, stop := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { a.Serve(running, l) })
	defer serving.Wait()
	defer stop()
	r.url = "http://" + l.Addr().String()
	r.transport = newTransport()
	defer r.transport.CloseIdleConnections()
	plan := r.plan()
	r.began = time.Now()
	var faults sync.WaitGroup
	faulty, over := context.WithCancel(ctx)
	faults.Go(func() { r.troubles(faulty, a.Apply) })
	report := loadgen.Run(ctx, plan)
	over()
	faults.Wait()
	if r.err != nil {
		return nil, false, r.err
	}
	r.finish()
	return &Outcome{Who: "on sockets", Seeds: []*fleetsim.Result{r.result}}, report.Invalid, ctx.Err()
}

// closeBoxes closes all servers that the run has started.
func (r *realRun) closeBoxes() {
	for _, b := range r.all {
		b.Close()
	}
}

func newTransport() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: mostOpen} }

// plan is the day's load.
func (r *realRun) plan() loadgen.Plan {
	d := &r.e.Day
	r.seconds = make([]second, int(d.Length/time.Second)+1)
	plan := loadgen.Plan{Duration: d.Length, MaxInFlight: mostOpen, Seed: r.e.Seed, MaxLateness: generatorLate}
	for i := range d.Classes {
		r.result.Classes = append(r.result.Classes, fleetsim.Tally{Times: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)})
		r.draws = append(r.draws, rand.New(rand.NewPCG(r.e.Seed, uint64(100+i))))
		plan.Streams = append(plan.Streams, loadgen.Stream{Rate: d.Classes[i].Rate, Curve: d.Load, Do: func(ctx context.Context, n int, due time.Time) { r.ask(ctx, i, n, due) }})
	}
	return plan
}

// program is the experiment as the program's own file.
func (e *Experiment) program(address string, node int) string {
	var b strings.Builder
	l, rules := &e.Day.Settings.Limits, &e.Day.Settings.Rules
	fmt.Fprintf(&b, "[listen]\naddress = %q\nconnections = %d\nsilent = 1024\n[upstream]\nconnections = 8192\nconnect_timeout = \"1s\"\n", address, 2*mostOpen)
	fmt.Fprintf(&b, "[files]\nclusters = \"clusters\"\nmax_removed_share = 1\n[limits]\nattempts = %d\nsecond_copies = %v\ncancel = %v\nmax_retry_after = %q\n",
		l.MaxAttempts, l.AllowHedging, l.AllowCancel, l.MaxRetryAfter)
	fmt.Fprintf(&b, "[fleet]\nnodes = %d\nnode = %d\ncold_from = %v\ncold_for = %q\nfall_multiple = %v\nfall_for = %q\n", e.Day.Nodes, node, rules.SlowStartMinCapacity, rules.SlowStartWindow, rules.OverloadMultiple, rules.OverloadDuration)
	for i, c := range e.Day.Classes {
		effect := map[policy.Idempotency]string{policy.Idempotent: "safe", policy.IdempotentByKey: "keyed", policy.NotIdempotent: "unsafe"}[c.Idempotency]
		fmt.Fprintf(&b, "[[class]]\nname = \"c%d\"\neffect = %q\ndeadline = %q\naim = %q\nworth = %v\nlate_worth = %v\n", i, effect, c.Deadline, c.LatencyObjective, c.PriorityWeight, c.LateWeight)
		if c.Idempotency == policy.IdempotentByKey {
			fmt.Fprintf(&b, "scope = \"all\"\nwindow = %q\n", c.DedupWindow)
		}
	}
	b.WriteString("[[host]]\n")
	for i := range e.Day.Classes {
		fmt.Fprintf(&b, "[[host.route]]\nprefix = \"/c%d\"\nclass = \"c%d\"\ncluster = \"rooms\"\n", i, i)
	}
	return b.String()
}

type second struct{ earned, wanted float64 }

type place struct {
	serial   int
	box      *modelbox.Server
	endpoint cluster.Endpoint
	told     time.Time // word of its drain
}

// realRun is a run.
type realRun struct {
	rig       *fleet.Rig // nil: the program runs in this process
	deaf      map[int]bool
	e         *Experiment
	program   *config.Program
	url       string
	transport *http.Transport
	began     time.Time

	mu      sync.Mutex
	places  []*place
	all     []*modelbox.Server
	serial  int
	ids     map[uint64]int // endpoint key to place
	draws   []*rand.Rand
	result  *fleetsim.Result
	seconds []second
	err     error
}

// box puts a server into a place; cold: one that has just started.
func (r *realRun) box(at int, cold bool) error {
	b, err := modelbox.Start(&r.e.Day.Kind, r.e.Seed+uint64(at))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	p := &place{serial: r.serial, box: b, endpoint: cluster.Endpoint{ID: fmt.Sprint("s-", r.serial), Address: b.Addr, Weight: 1}}
	if cold {
		if err := b.Up(); err != nil {
			return err
		}
		p.endpoint.StartedMs = time.Now().UnixMilli()
	}
	r.all = append(r.all, b)
	if at < len(r.places) {
		r.places[at] = p
	} else {
		r.places = append(r.places, p)
	}
	r.ids[p.endpoint.Key()] = at
	return nil
}

func (r *realRun) version() *files.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &cluster.Config{Name: "rooms", ShrinkTo: cluster.ShrinkUnspecified}
	for _, p := range r.places {
		c.Endpoints = append(c.Endpoints, p.endpoint)
	}
	return &files.Snapshot{Program: r.program, Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}}}
}

// sent counts what goes out, and what does so against the rule on drains.
func (r *realRun) sent(_ string, server uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sends++
	p := r.places[r.ids[server]]
	if p.endpoint.Key() == server && !p.told.IsZero() && at.After(p.told.Add(500*time.Millisecond)) {
		r.result.Strays++
	}
}

// troubles has the day's faults befall the servers.
func (r *realRun) troubles(ctx context.Context, take func(*files.Snapshot) error) {
	type step struct {
		at   time.Duration
		t    *fleetsim.Trouble
		over bool
		news bool
	}
	var steps []step
	for i := range r.e.Day.Troubles {
		t := &r.e.Day.Troubles[i]
		if t.Nodes {
			continue // by the rig's script
		}
		steps = append(steps, step{t.From, t, false, false}, step{t.To, t, true, false},
			step{t.From + r.e.Day.News, t, false, true}, step{t.To + r.e.Day.News, t, true, true})
	}
	slices.SortStableFunc(steps, func(x, y step) int { return int(x.at - y.at) })
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.began.Add(s.at))):
		}
		if s.news {
			if err := take(r.version()); err != nil {
				r.err = err
				return
			}
			r.mu.Lock()
			for _, p := range r.places {
				if p.endpoint.Health == cluster.Draining && p.told.IsZero() {
					p.told = time.Now()
					if r.rig != nil {
						r.rig.Record.Add(fleet.Event{What: fleet.Told, Who: p.serial})
					}
				}
			}
			r.mu.Unlock()
			continue
		}
		for i := s.t.First; i <= s.t.Last; i++ {
			r.mu.Lock()
			p := r.places[i]
			r.mu.Unlock()
			switch {
			case s.t.Down && !s.over:
				p.box.Down()
			case s.t.Down:
				if err := p.box.Up(); err != nil {
					r.err = err
					return
				}
				r.mu.Lock()
				p.endpoint.StartedMs = time.Now().UnixMilli()
				r.mu.Unlock()
			case s.t.Drain && !s.over:
				r.mu.Lock()
				p.endpoint.Health = cluster.Draining
				r.mu.Unlock()
			case s.t.Drain:
				p.box.Down()
				if err := r.box(i, true); err != nil {
					r.err = err
					return
				}
				if r.rig != nil {
					r.replaced(i)
				}
			case s.over:
				p.box.SetFault(model.Fault{})
			default:
				p.box.SetFault(s.t.With)
			}
		}
	}
}

// ask is a client's request, with its own retries.
func (r *realRun) ask(ctx context.Context, class, n int, due time.Time) {
	c, clients := &r.e.Day.Classes[class], &r.e.Day.Clients
	r.mu.Lock()
	rng := r.draws[class]
	work := time.Duration(float64(c.Work) * c.Spread.Draw(rng))
	honest := rng.Float64() < clients.Honest
	at := &r.seconds[min(int(due.Sub(r.began)/time.Second), len(r.seconds)-1)]
	tally := &r.result.Classes[class]
	tally.Asked++
	tally.Wanted += c.PriorityWeight
	at.wanted += c.PriorityWeight
	r.mu.Unlock()
	id := fmt.Sprintf("c%d-%d", class, n)
	for try := 0; ; try++ {
		status, after := r.try(ctx, class, id, try, work)
		took := time.Since(due)
		if status != http.StatusOK && try < clients.Retries && (status == http.StatusServiceUnavailable || c.Idempotency != policy.NotIdempotent) {
			wait := clients.Wait
			if honest {
				wait = max(wait, after)
			}
			select {
			case <-time.After(wait): // the client's own
				continue
			case <-ctx.Done():
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		switch status {
		case http.StatusOK:
			tally.Times.RecordValue(max(1, took.Microseconds()))
			worth := c.PriorityWeight
			if c.LatencyObjective > 0 && took > c.LatencyObjective {
				tally.Late++
				worth *= c.LateWeight
			} else {
				tally.InAim++
			}
			tally.Worth += worth
			at.earned += worth
		case http.StatusServiceUnavailable:
			tally.Refused++
		default:
			tally.Failed++
		}
		return
	}
}

// try gives the status of a try's answer, 0 for none, and the wait that it advises.
func (r *realRun) try(ctx context.Context, class int, id string, try int, work time.Duration) (status int, after time.Duration) {
	c := &r.e.Day.Classes[class]
	name := fmt.Sprintf("%s.%d", id, try)
	url := r.url
	if r.rig != nil { // a client leaves at its time: a process that is stopped answers nobody
		r.mu.Lock()
		node := r.draws[class].IntN(len(r.rig.Processes))
		r.mu.Unlock()
		url = "http://" + r.rig.Processes[node].Addr
		within, leave := context.WithTimeout(ctx, c.Deadline)
		defer leave()
		ctx = within
		r.rig.Record.Add(fleet.Event{What: fleet.Asked, Who: node, ID: name, Class: class, By: r.rig.Record.Since() + c.Deadline})
		defer func() { r.rig.Record.Add(fleet.Event{What: fleet.Answered, Who: node, ID: name, Status: status}) }()
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/c%d", url, class), nil)
	if err != nil {
		return 0, 0
	}
	q.Header.Set("X-Request-Id", name)
	q.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	q.Header.Set(modelbox.WorkHeader, strconv.FormatInt(max(1, work.Microseconds()), 10))
	if c.Idempotency == policy.IdempotentByKey {
		q.Header.Set("Idempotency-Key", id)
	}
	resp, err := r.transport.RoundTrip(q)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(s * float64(time.Second))
}

// finish counts what the servers saw.
func (r *realRun) finish() {
	ran := map[string]int{}
	for _, b := range r.all {
		by, fell := b.Effects()
		r.result.Fallen += int64(fell)
		for id, n := range by {
			ran[id] += n
		}
	}
	byRequest := map[string]int{}
	for id, n := range ran {
		request, _, _ := strings.Cut(id, ".") // its clients' tries are one
		byRequest[request] += n
	}
	for id, n := range byRequest {
		class, _, _ := strings.Cut(strings.TrimPrefix(id, "c"), "-")
		if i, err := strconv.Atoi(class); err == nil && r.e.Day.Classes[i].Idempotency == policy.NotIdempotent && n > 1 {
			r.result.Twice++
		}
	}
	asked := int64(0)
	for _, t := range r.result.Classes {
		asked += t.Asked
	}
	r.result.Copies = max(0, r.result.Sends-asked)
	for _, s := range r.seconds {
		share := 1.0
		if s.wanted > 0 {
			share = s.earned / s.wanted
		}
		r.result.Seconds = append(r.result.Seconds, share)
	}
}
