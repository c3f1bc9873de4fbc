package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fake/modelbox"
	"yokestall/internal/files"
	"yokestall/internal/fleetsim"
	"yokestall/internal/loadgen"
	"yokestall/policy"
)

const (
	// MaxProcesses is how many processes of the program a day may have on sockets.
	MaxProcesses = 16
	// seenSlack is what lies between a process's decision and what a stand-in sees of it, on a busy machine.
	seenSlack = 400 * time.Millisecond
)

// Fleet plays an experiment on sockets with as many processes of the program as the day has nodes, started by a
// command, each behind links of its own, while the script's faults befall them. Its findings are judged from what
// clients and stand-ins recorded. Void as for Real.
func Fleet(ctx context.Context, e *Experiment, dir string, command, env []string) (o *Outcome, found []fleet.Finding, void bool, err error) {
	d := &e.Day
	if d.Servers > MaxReal || d.Nodes > MaxProcesses {
		return nil, nil, false, fmt.Errorf("%s: %d servers and %d nodes; on sockets %d and %d at most", e.Name, d.Servers, d.Nodes, MaxReal, MaxProcesses)
	}
	if err := e.onSockets(); err != nil {
		return nil, nil, false, err
	}
	r := &realRun{e: e, result: &fleetsim.Result{}, ids: map[uint64]int{}, rig: &fleet.Rig{}}
	defer r.closeBoxes()
	var servers []string
	for i := range d.Servers {
		if err := r.box(i, false); err != nil {
			return nil, nil, false, err
		}
		servers = append(servers, r.places[i].box.Addr)
	}
	if r.rig, err = fleet.NewRig(dir, d.Nodes, servers, serveCommand(command), env); err != nil {
		return nil, nil, false, err
	}
	defer r.rig.Close()
	r.rig.News = r.deafen
	for i, p := range r.rig.Processes {
		if err := writeConfig(p, e.program(p.Addr, i)); err != nil {
			return nil, nil, false, err
		}
	}
	if err := r.publish(nil); err != nil {
		return nil, nil, false, err
	}
	if err := r.rig.Start(ctx); err != nil {
		return nil, nil, false, err
	}
	r.transport = newTransport()
	defer r.transport.CloseIdleConnections()
	plan := r.plan()
	r.began = time.Now()
	r.rig.Record.Begin(r.began)
	for _, b := range r.all {
		r.watch(b)
	}
	faulty, over := context.WithCancel(ctx)
	defer over()
	var faults sync.WaitGroup
	var played error
	faults.Go(func() { r.troubles(faulty, r.publish) })
	script := e.script()
	faults.Go(func() { played = r.rig.Play(faulty, r.began, script) })
	report := loadgen.Run(ctx, plan)
	faults.Wait()
	if r.err != nil {
		return nil, nil, false, r.err
	}
	if played != nil {
		return nil, nil, false, played
	}
	r.finish()
	rules := fleet.Rules{Grace: 500 * time.Millisecond, Slack: seenSlack}
	for _, c := range d.Classes {
		rules.Unsafe = append(rules.Unsafe, c.Idempotency == policy.NotIdempotent)
	}
	for _, f := range script {
		rules.LinksKeep = rules.LinksKeep || f.Keeps()
	}
	events := r.rig.Record.Events()
	for _, ev := range events {
		if ev.What == fleet.Came {
			r.result.Sends++
		}
	}
	asked := int64(0)
	for _, t := range r.result.Classes {
		asked += t.Asked
	}
	r.result.Copies = max(0, r.result.Sends-asked)
	return &Outcome{Who: fmt.Sprint(d.Nodes, " processes"), Seeds: []*fleetsim.Result{r.result}}, fleet.Judge(events, rules), report.Invalid, ctx.Err()
}

// serveCommand is the command that starts a process of the program with a configuration file.
func serveCommand(command []string) []string {
	return append(command[:len(command):len(command)], "serve", "-c")
}

// writeConfig writes a process's configuration file, beside an empty folder for its clusters.
func writeConfig(p *fleet.Process, text string) error {
	if err := os.MkdirAll(filepath.Join(p.Dir, "clusters"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(p.Config(), []byte(text), 0o600)
}

// script is the day's faults, with the deaths of nodes that virtual time knows too.
func (e *Experiment) script() []fleet.Fault {
	script := slices.Clone(e.Faults)
	for _, t := range e.Day.Troubles {
		if !t.Nodes {
			continue
		}
		f := fleet.Fault{From: t.From, To: t.To, Kind: fleet.Kill}
		for i := t.First; i <= t.Last; i++ {
			f.Nodes = append(f.Nodes, i)
		}
		script = append(script, f)
	}
	return script
}

// replaced leads the links of a place to the box that is there now.
func (r *realRun) replaced(at int) {
	r.mu.Lock()
	b := r.places[at].box
	r.mu.Unlock()
	r.watch(b)
	for _, links := range r.rig.Links {
		links[at].Target(b.Addr)
	}
}

// deafen has a process hear nothing of the servers, or all that it missed.
func (r *realRun) deafen(process int, deaf bool) error {
	r.mu.Lock()
	if r.deaf == nil {
		r.deaf = map[int]bool{}
	}
	r.deaf[process] = deaf
	r.mu.Unlock()
	return r.publish(nil)
}

// watch has a box's sights recorded.
func (r *realRun) watch(b *modelbox.Server) {
	r.mu.Lock()
	serial := 0
	for _, p := range r.places {
		if p.box == b {
			serial = p.serial
		}
	}
	r.mu.Unlock()
	kinds := map[modelbox.Event]fleet.What{
		modelbox.Arrived: fleet.Came, modelbox.Completed: fleet.Ran, modelbox.Overloaded: fleet.Fell,
	}
	b.Watch(func(what modelbox.Event, id string) {
		r.rig.Record.Add(fleet.Event{What: kinds[what], Who: serial, ID: id})
	})
}

// publish writes each process's list of the servers, with the addresses of its own links, whole or not at all.
func (r *realRun) publish(*files.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range r.rig.Processes {
		if r.deaf[i] {
			continue
		}
		var b strings.Builder
		b.WriteString("[cluster]\nname = \"rooms\"\n")
		for s, at := range r.places {
			e := at.endpoint
			health := "healthy"
			if e.Health != 0 {
				health = "draining"
			}
			fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\nzone = \"a\"\nweight = 1\nhealth = %q\nstarted_ms = %d\n", e.ID, r.rig.Links[i][s].Addr, health, e.StartedMs)
		}
		fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(r.places))
		path := filepath.Join(p.Dir, "clusters", "rooms.toml")
		if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
	}
	return nil
}
