package scale

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/agent"
)

// rig is a fleet of one size with its running processes. Create it with newRig, and end its processes with close.
type rig struct {
	plan    *Plan
	size    int      // number of hollow nodes
	dir     string   // folder of the processes' folders
	command []string // command that starts the program
	env     []string // added to the environment of this process
	members members
	voters  []agent.VoterAddress
	meter   *Meter        // meter of the operator's client, which is in region 0
	keys    string        // folder of the run's TLS keys; "" if the run does not use TLS
	client  *agent.Client // client that publishes versions
}

// newRig starts the processes of a plan at a size. The processes' folders are created in dir.
func newRig(ctx context.Context, plan *Plan, size int, dir string, command, env []string) (*rig, error) {
	r := &rig{plan: plan, size: size, dir: dir, command: command[:len(command):len(command)], env: env}
	if err := r.setUp(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// setUp creates the processes with their files, connects the operator's client, and starts the processes: first the
// voters, then the serve processes, then the processes with hollow nodes.
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
		start := func(_ int, m *member) error { return m.start(ctx) }
		if err := forEach(r.members.withRole(role), start); err != nil {
			return err
		}
	}
	return nil
}

// nodeCount returns the number of nodes in the fleet, including the voters.
func (r *rig) nodeCount() int { return r.plan.Voters + r.plan.ServeProcesses + r.size }

// processCount returns the number of processes that a number of hollow nodes needs.
func processCount(nodes, perProcess int) int { return (nodes + perProcess - 1) / perProcess }

// addProcesses adds all processes without starting them. The hollow nodes are spread evenly over their processes.
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
		at := Placement{
			First: first, Count: next - first, Offset: p.Voters + p.ServeProcesses,
			Regions: p.Regions, Zones: p.Zones,
		}
		if err := r.addProcess(NodeRole, fmt.Sprint("hollow", i), at.Count, at.arguments()); err != nil {
			return err
		}
	}
	return nil
}

// arguments returns the arguments of the command that runs the hollow nodes. The path of the nodes' configuration file is
// to follow them.
func (at Placement) arguments() []string {
	return []string{
		"lab", "hollow",
		fmt.Sprint("--first=", at.First),
		fmt.Sprint("--count=", at.Count),
		fmt.Sprint("--before=", at.Offset),
		fmt.Sprint("--regions=", at.Regions),
		fmt.Sprint("--zones=", at.Zones),
		"-c",
	}
}

// serveArguments returns the arguments of the command that runs complete node i of a role. The path of the node's
// configuration file is to follow them.
func (r *rig) serveArguments(i int) []string {
	return []string{
		"lab", "serve", "--controlled",
		fmt.Sprint("--region=", i%r.plan.Regions),
		fmt.Sprint("--zone=", i%r.plan.Zones),
		fmt.Sprint("--regions=", r.plan.Regions),
		"-c",
	}
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

// close closes the operator's client and kills all processes.
func (r *rig) close() {
	if r.client != nil {
		r.client.Close()
	}
	for _, m := range r.members {
		m.kill()
	}
}

// reports returns the report of each process, in the order of members.
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

// awaitVersion waits until all nodes act on a version or timeout is over. It returns the states of all nodes by process,
// in the order of members.
func (r *rig) awaitVersion(ctx context.Context, version uint64, timeout time.Duration) ([][]State, error) {
	replies, err := r.members.call(ctx, toAll(Command{Op: OpAwait, Version: version, Timeout: timeout}))
	if err != nil {
		return nil, err
	}
	var list [][]State
	for _, reply := range replies {
		list = append(list, reply.States)
	}
	return list, nil
}

// setPartitioned begins or ends a partition between the regions, in all processes and for the operator's client.
func (r *rig) setPartitioned(ctx context.Context, partitioned bool) error {
	c := Command{Op: OpHeal}
	if partitioned {
		c.Op = OpPartition
	}
	r.meter.SetPartitioned(partitioned)
	_, err := r.members.call(ctx, toAll(c))
	return err
}
