package sockets

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/internal/loadgen"
)

// MaxProcesses is how many processes of the program an experiment may have on sockets.
const MaxProcesses = 16

// RunProcesses plays an experiment on sockets with a process of the program for each node, started by a command, each
// behind links of its own, while the experiment's faults of processes, links and servers happen. The findings are
// judged from what clients and servers recorded. void is as RunInProcess has it.
func RunProcesses(ctx context.Context, e *lab.Experiment, dir string, command, env []string) (
	o *lab.Outcome, findings []fleet.Finding, void bool, err error,
) {
	if err := checkProcesses(e); err != nil {
		return nil, nil, false, err
	}
	r, err := newRun(e)
	defer r.close()
	if err != nil {
		return nil, nil, false, err
	}
	p, err := newProcesses(r, dir, command, env)
	if err != nil {
		return nil, nil, false, err
	}
	defer p.rig.Close()
	r.deployment = p
	if err := p.start(ctx); err != nil {
		return nil, nil, false, err
	}
	defer r.transport.CloseIdleConnections()
	report, err := p.play(ctx)
	if err != nil {
		return nil, nil, false, err
	}
	events := p.rig.Record.Events()
	r.result.Sends = countArrivals(events)
	r.finish()
	o = &lab.Outcome{Name: fmt.Sprint(e.Day.Nodes, " processes"), Seeds: []*fleetsim.Result{r.result}}
	return o, fleet.Judge(events, p.rules()), report.Void, ctx.Err()
}

// checkProcesses reports what of an experiment can't be played with processes.
func checkProcesses(e *lab.Experiment) error {
	day := &e.Day
	if day.Servers > MaxServers || day.Nodes > MaxProcesses {
		return fmt.Errorf("%s: %d servers and %d nodes; on sockets %d and %d at most",
			e.Name, day.Servers, day.Nodes, MaxServers, MaxProcesses)
	}
	return checkFaults(e)
}

// processes are the program as real processes.
type processes struct {
	run    *run
	rig    *fleet.Rig
	script []fleet.Fault

	mu sync.Mutex // guards deaf and the writing of endpoint lists
	// deaf are the processes that get no endpoint lists for the time being, by index.
	deaf map[int]bool
}

// newProcesses makes a rig for a run, in folders below dir.
func newProcesses(r *run, dir string, command, env []string) (*processes, error) {
	var addresses []string
	for _, s := range r.places {
		addresses = append(addresses, s.box.Addr)
	}
	e := r.experiment
	rig, err := fleet.NewRig(dir, e.Day.Nodes, addresses, fleet.ServeCommand(command), env)
	if err != nil {
		return nil, err
	}
	p := &processes{run: r, rig: rig, script: faultScript(e), deaf: map[int]bool{}}
	rig.News = p.setDeaf
	return p, nil
}

// faultScript returns the experiment's faults of processes and links, with the deaths of nodes that are played in
// virtual time too.
func faultScript(e *lab.Experiment) []fleet.Fault {
	script := slices.Clone(e.Faults)
	for _, t := range e.Day.Troubles {
		if !t.Nodes {
			continue
		}
		kill := fleet.Fault{From: t.From, To: t.To, Kind: fleet.Kill}
		for i := t.First; i <= t.Last; i++ {
			kill.Nodes = append(kill.Nodes, i)
		}
		script = append(script, kill)
	}
	return script
}

// start writes the configuration of the processes and starts them.
func (p *processes) start(ctx context.Context) error {
	for i, process := range p.rig.Processes {
		if err := process.WriteConfig(programFile(p.run.experiment, process.Addr, i)); err != nil {
			return err
		}
	}
	if err := p.publish(); err != nil {
		return err
	}
	return p.rig.Start(ctx)
}

// play plays the load and all faults, to the end of both.
func (p *processes) play(ctx context.Context) (*loadgen.Report, error) {
	r := p.run
	plan := r.loadPlan()
	r.began = time.Now()
	p.rig.Record.Begin(r.began)
	for _, s := range r.places {
		p.watch(s)
	}
	faultsContext, cancelFaults := context.WithCancel(ctx)
	defer cancelFaults()
	var faults sync.WaitGroup
	var serversErr, scriptErr error
	faults.Go(func() { serversErr = r.playFaults(faultsContext) })
	faults.Go(func() { scriptErr = p.rig.Play(faultsContext, r.began, p.script) })
	report := loadgen.Run(ctx, plan)
	faults.Wait()
	if serversErr != nil {
		return nil, serversErr
	}
	return report, scriptErr
}

// setDeaf has a process get no endpoint lists, or again the present one.
func (p *processes) setDeaf(process int, deaf bool) error {
	p.mu.Lock()
	p.deaf[process] = deaf
	p.mu.Unlock()
	return p.publish()
}

// publish implements deployment: it writes the endpoint list of each process, with the addresses of its own links.
func (p *processes) publish() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := p.run.endpoints()
	for i, process := range p.rig.Processes {
		if p.deaf[i] {
			continue
		}
		path := process.ClusterFile(clusterName)
		if err := replaceFile(path, clusterFile(endpoints, p.rig.Links[i])); err != nil {
			return err
		}
	}
	return nil
}

// clusterFile returns the cluster's file for endpoints that are reached by links.
func clusterFile(endpoints []cluster.Endpoint, links []*fleet.Relay) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nname = %q\n", clusterName)
	for i, e := range endpoints {
		health := "healthy"
		if e.Health != cluster.Healthy {
			health = "draining"
		}
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\nzone = \"a\"\nweight = 1\nhealth = %q\nstarted_ms = %d\n",
			e.ID, links[i].Addr, health, e.Started)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(endpoints))
	return b.String()
}

// replaceFile writes a file in one step, so that nobody reads a part of it.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// drainPublished implements deployment.
func (p *processes) drainPublished(serial int) {
	p.rig.Record.Add(fleet.Event{What: fleet.Told, Who: serial})
}

// serverReplaced implements deployment: it leads the links of the place to the new server.
func (p *processes) serverReplaced(place int) {
	s := p.run.serverAt(place)
	p.watch(s)
	for _, links := range p.rig.Links {
		links[place].Target(s.box.Addr)
	}
}

// startAttempt implements deployment: it picks a process. The attempt ends at its deadline, since a process that is
// stopped answers nobody.
func (p *processes) startAttempt(ctx context.Context, class int, id string) (context.Context, string, func(int)) {
	r := p.run
	r.mu.Lock()
	node := r.random[class].IntN(len(p.rig.Processes))
	r.mu.Unlock()
	deadline := r.experiment.Day.Classes[class].Deadline
	ctx, cancel := context.WithTimeout(ctx, deadline)
	record := &p.rig.Record
	record.Add(fleet.Event{What: fleet.Asked, Who: node, ID: id, Class: class, By: record.Since() + deadline})
	return ctx, "http://" + p.rig.Processes[node].Addr, func(status int) {
		record.Add(fleet.Event{What: fleet.Answered, Who: node, ID: id, Status: status})
		cancel()
	}
}
