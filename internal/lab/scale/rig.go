package scale

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/agent"
)

// processCount gives how many processCount so many hollow nodes need.
func processCount(nodes, perProcess int) int { return (nodes + perProcess - 1) / perProcess }

// rig is the processes of a fleet at a size. Create it with newRig.
type rig struct {
	plan    *Plan
	size    int
	dir     string
	command []string // of the program
	env     []string
	members members
	voters  []agent.Voter
	meter   *Meter // of the operator, who stands in region 0
	keys    string // the folder of the run's keys; "": clear text
	client  *agent.Client
}

// newRig starts the processes of a plan at a size, in a folder.
func newRig(ctx context.Context, p *Plan, size int, dir string, command, env []string) (*rig, error) {
	r := &rig{plan: p, size: size, dir: dir, command: command[:len(command):len(command)], env: env}
	if err := r.setUp(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// setUp makes the processes and starts them, voters first.
func (r *rig) setUp(ctx context.Context) error {
	if err := r.addProcesses(); err != nil {
		return err
	}
	if err := r.writeFiles(ctx); err != nil {
		return err
	}
	if err := r.connectOperator(); err != nil {
		return err
	}
	for _, role := range []Role{VoterRole, ServeRole, NodeRole} {
		if err := r.start(ctx, r.members.withRole(role)); err != nil {
			return err
		}
	}
	return nil
}

// nodeCount is how many nodes the fleet has.
func (r *rig) nodeCount() int { return r.plan.Voters + r.plan.ServeProcesses + r.size }

// addProcesses makes the processes, which have not been started.
func (r *rig) addProcesses() error {
	p := r.plan
	for i := range p.Voters {
		if err := r.addProcess(VoterRole, fmt.Sprint("v", i), 1, r.serveArguments(i)); err != nil {
			return err
		}
	}
	for i := range p.ServeProcesses {
		if err := r.addProcess(ServeRole, fmt.Sprint("s", i), 1, r.serveArguments(i)); err != nil {
			return err
		}
	}
	count := processCount(r.size, p.NodesPerProcess)
	for i := range count {
		first, next := i*r.size/count, (i+1)*r.size/count
		at := Placement{First: first, Count: next - first, Offset: p.Voters + p.ServeProcesses, Regions: p.Regions, Zones: p.Zones}
		if err := r.addProcess(NodeRole, fmt.Sprint("hollow", i), at.Count, at.arguments()); err != nil {
			return err
		}
	}
	return nil
}

// arguments are those of the command that runs hollow nodes.
func (at Placement) arguments() []string {
	return []string{"lab", "hollow", fmt.Sprint("--first=", at.First), fmt.Sprint("--count=", at.Count), fmt.Sprint("--before=", at.Offset),
		fmt.Sprint("--regions=", at.Regions), fmt.Sprint("--zones=", at.Zones), "-c"}
}

// serveArguments are those of the command that runs a whole node.
func (r *rig) serveArguments(i int) []string {
	return []string{"lab", "serve", "--controlled", fmt.Sprint("--region=", i%r.plan.Regions), fmt.Sprint("--zone=", i%r.plan.Zones),
		fmt.Sprint("--regions=", r.plan.Regions), "-c"}
}

func (r *rig) addProcess(role Role, name string, nodes int, arguments []string) error {
	proc, err := fleet.NewProcess(filepath.Join(r.dir, name), append(r.command, arguments...), r.env)
	if err != nil {
		return err
	}
	proc.Piped = true
	r.members = append(r.members, &member{role: role, name: name, nodeCount: nodes, proc: proc})
	return nil
}

func (r *rig) start(ctx context.Context, list members) error {
	errs := make([]error, len(list))
	var all sync.WaitGroup
	for i, m := range list {
		all.Go(func() { errs[i] = m.start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// close ends all processes.
func (r *rig) close() {
	if r.client != nil {
		r.client.Close()
	}
	for _, m := range r.members {
		m.kill()
	}
}

// reports gives what each process has used.
func (r *rig) reports(ctx context.Context) ([]Report, error) {
	replies, err := r.members.call(ctx, toAll(Command{Op: OpReport}))
	if err != nil {
		return nil, err
	}
	var list []Report
	for _, reply := range replies {
		list = append(list, *reply.Report)
	}
	return list, nil
}

// awaitVersion gives what all nodes act on, by process, once all act on a version or so much time has passed.
func (r *rig) awaitVersion(ctx context.Context, number uint64, longest time.Duration) ([][]State, error) {
	replies, err := r.members.call(ctx, toAll(Command{Op: OpAwait, Version: number, Timeout: longest}))
	if err != nil {
		return nil, err
	}
	var list [][]State
	for _, reply := range replies {
		list = append(list, reply.States)
	}
	return list, nil
}

// setPartitioned parts the regions, or joins them again.
func (r *rig) setPartitioned(ctx context.Context, apart bool) error {
	c := Command{Op: OpHeal}
	if apart {
		c.Op = OpPartition
	}
	r.meter.SetPartitioned(apart)
	_, err := r.members.call(ctx, toAll(c))
	return err
}
