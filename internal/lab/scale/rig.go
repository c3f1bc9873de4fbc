package scale

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/tlskeys"
)

// fleetName is that of a run's fleet.
const fleetName = "scale"

// The names of the run's keys.
const (
	rootsName = "ca"
	pairName  = "node"
)

// rig is the processes of a fleet at a size. Create it with newRig.
type rig struct {
	plan    *Plan
	size    int
	dir     string
	command []string // of the program
	env     []string
	members members
	voters  []agent.VoterAddress
	meter   *Meter // of the operator, who stands in region 0
	keys    string // the folder of the run's keys; "": clear text
	client  *agent.Client
}

// newRig starts the processes of a plan at a size, in a folder.
func newRig(ctx context.Context, p *Plan, size int, dir string, command, env []string) (*rig, error) {
	r := &rig{plan: p, size: size, dir: dir, command: command[:len(command):len(command)], env: env}
	if err := r.build(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// build makes the processes and starts them, voters first.
func (r *rig) build(ctx context.Context) error {
	if err := r.place(); err != nil {
		return err
	}
	if err := r.configure(ctx); err != nil {
		return err
	}
	if err := r.operator(); err != nil {
		return err
	}
	for _, role := range []Role{VoterRole, ServeRole, NodeRole} {
		if err := r.start(ctx, r.members.of(role)); err != nil {
			return err
		}
	}
	return nil
}

// total is how many nodes the fleet has.
func (r *rig) total() int { return r.plan.Voters + r.plan.Serves + r.size }

// place makes the processes, which have not been started.
func (r *rig) place() error {
	p := r.plan
	for i := range p.Voters {
		if err := r.add(VoterRole, fmt.Sprint("v", i), 1, r.serving(i)); err != nil {
			return err
		}
	}
	for i := range p.Serves {
		if err := r.add(ServeRole, fmt.Sprint("s", i), 1, r.serving(i)); err != nil {
			return err
		}
	}
	count := processes(r.size, p.PerProcess)
	for i := range count {
		first, next := i*r.size/count, (i+1)*r.size/count
		at := Placement{First: first, Count: next - first, Before: p.Voters + p.Serves, Regions: p.Regions, Zones: p.Zones}
		if err := r.add(NodeRole, fmt.Sprint("hollow", i), at.Count, at.Arguments()); err != nil {
			return err
		}
	}
	return nil
}

// Arguments are those of the command that runs hollow nodes.
func (at Placement) Arguments() []string {
	return []string{"lab", "hollow", fmt.Sprint("--first=", at.First), fmt.Sprint("--count=", at.Count), fmt.Sprint("--before=", at.Before),
		fmt.Sprint("--regions=", at.Regions), fmt.Sprint("--zones=", at.Zones), "-c"}
}

// serving are those of the command that runs a whole node.
func (r *rig) serving(i int) []string {
	return []string{"lab", "serve", "--controlled", fmt.Sprint("--region=", i%r.plan.Regions), fmt.Sprint("--zone=", i%r.plan.Zones),
		fmt.Sprint("--regions=", r.plan.Regions), "-c"}
}

func (r *rig) add(role Role, name string, nodes int, arguments []string) error {
	proc, err := fleet.NewProcess(filepath.Join(r.dir, name), append(r.command, arguments...), r.env)
	if err != nil {
		return err
	}
	proc.Piped = true
	r.members = append(r.members, &member{role: role, name: name, nodes: nodes, proc: proc})
	return nil
}

// configure writes the processes' files, and makes the voters' stores.
func (r *rig) configure(ctx context.Context) error {
	for _, m := range r.members.of(VoterRole) {
		address, err := freeAddress(m.proc.Addr)
		if err != nil {
			return err
		}
		r.voters = append(r.voters, agent.VoterAddress{Name: m.name, Address: address})
	}
	if r.plan.TLS {
		if err := r.makeKeys(); err != nil {
			return err
		}
	}
	for i, m := range r.members {
		if err := os.MkdirAll(filepath.Join(m.proc.Dir, "clusters"), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(m.proc.Config(), []byte(r.file(m, i)), 0o600); err != nil {
			return err
		}
		if m.role != VoterRole {
			continue
		}
		c := exec.CommandContext(ctx, r.command[0], append(r.command[1:], "fleet", "init", "-c", m.proc.Config())...)
		c.Env = append(os.Environ(), r.env...)
		if text, err := c.CombinedOutput(); err != nil {
			return fmt.Errorf("fleet init: %w: %s", err, text)
		}
	}
	return nil
}

// freeAddress gives a free port of a process's own address, other than the one on which it is to listen already.
func freeAddress(taken string) (string, error) {
	host, _, err := net.SplitHostPort(taken)
	if err != nil {
		return "", err
	}
	held, err := net.Listen("tcp", taken) // until the other one is chosen
	if err != nil {
		return "", err
	}
	defer held.Close()
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *rig) makeKeys() error {
	authority, err := keymaker.New("the run's authority")
	if err != nil {
		return err
	}
	names := []string{pairName}
	for _, v := range r.voters {
		host, _, err := net.SplitHostPort(v.Address)
		if err != nil {
			return err
		}
		names = append(names, host)
	}
	r.keys = filepath.Join(r.dir, "keys")
	if err := os.MkdirAll(r.keys, 0o700); err != nil {
		return err
	}
	return authority.Write(r.keys, pairName, names...)
}

// file is the own file of a process's nodes.
func (r *rig) file(m *member, number int) string {
	t := &r.plan.Terms
	var b strings.Builder
	if r.keys != "" {
		fmt.Fprintf(&b, "[keys]\nfolder = %q\n", r.keys)
	}
	b.WriteString(own(m.proc.Addr, r.total(), number))
	fmt.Fprintf(&b, "[fleet.agree]\nname = %q\nnode = %q\nlease = %q\ndrift = %v\ntake = %q\n", fleetName, m.name, t.Duration, t.MaxClockDrift, t.ApplyTimeout)
	if r.keys != "" {
		fmt.Fprintf(&b, "roots = %q\ncertificate = %q\n", rootsName, pairName)
	}
	b.WriteString("voters = [")
	for _, v := range r.voters {
		fmt.Fprintf(&b, "%q,", v.Name+"="+v.Address)
	}
	b.WriteString("]\n")
	if m.role == VoterRole {
		fmt.Fprintf(&b, "listen = %q\n", r.voters[number].Address)
	}
	b.WriteString(Content{Clusters: 1, Servers: 1, Routes: len(classes)}.rules(first))
	return b.String()
}

// operator makes the client that publishes.
func (r *rig) operator() error {
	var with *tls.Config
	if r.keys != "" {
		keys, err := tlskeys.Open(r.keys, pairName, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		with = keys.ClientConfig(tlskeys.ServerAuth{Roots: rootsName, Certificate: pairName})
	}
	r.meter = NewMeter(r.voters, r.plan.Regions)
	var err error
	r.client, err = agent.NewClient(fleetName, r.voters, with, grpc.WithContextDialer(r.meter.Dialer(0)))
	return err
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
	replies, err := r.members.ask(ctx, same(Command{Op: OpReport}))
	if err != nil {
		return nil, err
	}
	var list []Report
	for _, reply := range replies {
		list = append(list, *reply.Report)
	}
	return list, nil
}

// await gives what all nodes act on, by process, once all act on a version or so much time has passed.
func (r *rig) await(ctx context.Context, number uint64, longest time.Duration) ([][]State, error) {
	replies, err := r.members.ask(ctx, same(Command{Op: OpAwait, Number: number, For: longest}))
	if err != nil {
		return nil, err
	}
	var list [][]State
	for _, reply := range replies {
		list = append(list, reply.States)
	}
	return list, nil
}

// apart parts the regions, or joins them again.
func (r *rig) apart(ctx context.Context, apart bool) error {
	c := Command{Op: OpJoin}
	if apart {
		c.Op = OpApart
	}
	r.meter.Apart(apart)
	_, err := r.members.ask(ctx, same(c))
	return err
}
