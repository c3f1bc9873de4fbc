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

// MaxProcesses is the maximum number of processes of the program in an experiment on sockets.
const MaxProcesses = 16

// RunProcesses plays an experiment on sockets with a process of the program for each node, and with the experiment's
// faults of processes, links and servers. The command starts a process; each process reaches the servers by its own
// links. The findings are the violations in the events that clients and servers recorded. For void see RunInProcess.
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
	r.result.Attempts = countArrivals(events)
	r.finish()
	o = &lab.Outcome{Name: fmt.Sprint(e.Day.Nodes, " processes"), Seeds: []*fleetsim.Result{r.result}}
	return o, fleet.CheckRequests(events, p.rules()), report.Invalid, ctx.Err()
}

// checkProcesses returns an error if an experiment can't be played with processes.
func checkProcesses(e *lab.Experiment) error {
	day := &e.Day
	if day.Servers > MaxServers || day.Nodes > MaxProcesses {
		return fmt.Errorf("%s: %d servers and %d nodes; the maximum on sockets is %d servers and %d nodes",
			e.Name, day.Servers, day.Nodes, MaxServers, MaxProcesses)
	}
	return checkFaults(e)
}

// processes is the deployment of the program as a process for each node.
type processes struct {
	run    *run
	rig    *fleet.Rig
	script []fleet.Fault

	mu sync.Mutex // guards updatesBlocked, and is held while endpoint lists are written
	// updatesBlocked tells by index which processes get no endpoint lists at present.
	updatesBlocked map[int]bool
}

// newProcesses makes a rig for a run. The processes' folders are below dir.
func newProcesses(r *run, dir string, command, env []string) (*processes, error) {
	var addresses []string
	for _, s := range r.slots {
		addresses = append(addresses, s.box.Addr)
	}
	e := r.experiment
	rig, err := fleet.NewRig(dir, e.Day.Nodes, addresses, fleet.ServeCommand(command), env)
	if err != nil {
		return nil, err
	}
	p := &processes{run: r, rig: rig, script: faultScript(e), updatesBlocked: map[int]bool{}}
	rig.SetUpdatesBlocked = p.setUpdatesBlocked
	return p, nil
}

// faultScript returns the experiment's faults of processes and links, and a kill of processes for each simulated fault
// of nodes.
func faultScript(e *lab.Experiment) []fleet.Fault {
	script := slices.Clone(e.Faults)
	for _, t := range e.Day.Faults {
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

// start writes the configuration of all processes and starts the processes.
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

// play plays the load and all faults, and returns when both have ended.
func (p *processes) play(ctx context.Context) (*loadgen.Report, error) {
	r := p.run
	plan := r.loadPlan()
	r.began = time.Now()
	p.rig.Record.Begin(r.began)
	for _, s := range r.slots {
		p.watch(s)
	}
	faultsContext, cancelFaults := context.WithCancel(ctx)
	defer cancelFaults()
	var faults sync.WaitGroup
	var serversErr, scriptErr error
	faults.Go(func() { serversErr = r.playFaults(faultsContext) })
	faults.Go(func() { scriptErr = p.rig.ApplyFaults(faultsContext, r.began, p.script) })
	report := loadgen.Run(ctx, plan)
	faults.Wait()
	if serversErr != nil {
		return nil, serversErr
	}
	return report, scriptErr
}

// setUpdatesBlocked withholds endpoint lists from a process, or publishes the present one to it again.
func (p *processes) setUpdatesBlocked(process int, blocked bool) error {
	p.mu.Lock()
	p.updatesBlocked[process] = blocked
	p.mu.Unlock()
	return p.publish()
}

// publish implements deployment. It writes the endpoint list of each process, with the addresses of the process's own
// links. Processes in updatesBlocked keep the list that they have.
func (p *processes) publish() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := p.run.endpoints()
	for i, process := range p.rig.Processes {
		if p.updatesBlocked[i] {
			continue
		}
		path := process.ClusterFile(clusterName)
		if err := replaceFile(path, clusterFile(endpoints, p.rig.ServerLinks[i])); err != nil {
			return err
		}
	}
	return nil
}

// clusterFile returns the text of the cluster's file, in which each endpoint has the address of its link.
func clusterFile(endpoints []cluster.Endpoint, links []*fleet.Relay) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[cluster]\nname = %q\n", clusterName)
	for i, e := range endpoints {
		health := "healthy"
		if e.Health != cluster.Healthy {
			health = "draining"
		}
		fmt.Fprintf(&b, "[[endpoint]]\nid = %q\naddress = %q\nzone = \"a\"\nweight = 1\nhealth = %q\nstarted_ms = %d\n",
			e.ID, links[i].Addr, health, e.StartedMs)
	}
	fmt.Fprintf(&b, "[end]\nendpoints = %d\n", len(endpoints))
	return b.String()
}

// replaceFile replaces a file by a rename, so that no reader sees a part of the text.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// drainPublished implements deployment. It records the drain for the check of the run.
func (p *processes) drainPublished(serial int) {
	p.rig.Record.Add(fleet.Event{Kind: fleet.DrainAnnounced, Party: serial})
}

// serverReplaced implements deployment. It directs the links of the slot to the new server.
func (p *processes) serverReplaced(slot int) {
	s := p.run.serverAt(slot)
	p.watch(s)
	for _, links := range p.rig.ServerLinks {
		links[slot].SetTarget(s.box.Addr)
	}
}

// startAttempt implements deployment. It selects a process at random. The attempt ends at its deadline, because a process
// that is paused does not answer.
func (p *processes) startAttempt(ctx context.Context, class int, id string) (context.Context, string, func(int)) {
	r := p.run
	r.mu.Lock()
	node := r.random[class].IntN(len(p.rig.Processes))
	r.mu.Unlock()
	deadline := r.experiment.Day.Classes[class].Deadline
	ctx, cancel := context.WithTimeout(ctx, deadline)
	record := &p.rig.Record
	record.Add(fleet.Event{Kind: fleet.RequestSent, Party: node, ID: id, Class: class, Reference: record.Since() + deadline})
	return ctx, "http://" + p.rig.Processes[node].Addr, func(status int) {
		record.Add(fleet.Event{Kind: fleet.RequestAnswered, Party: node, ID: id, Status: status})
		cancel()
	}
}
