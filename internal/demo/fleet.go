package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/lease"
)

// FleetOptions are what the demo of a fleet that agrees is told.
type FleetOptions struct {
	Out   io.Writer
	Lease time.Duration
}

// fleetNode is a node of the demo, and what it acts on.
type fleetNode struct {
	name   string
	node   *agent.Node
	links  []*fleet.Relay // to voters
	listen net.Listener

	mu   sync.Mutex
	acts string
}

const (
	fleetNodes  = 5
	fleetVoters = 3
	fleetSoon   = 10 * time.Second // for what has to come
)

// Fleet shows five nodes, three of which vote, that agree on versions while one of them is cut off. It gives what did
// not come out as it should.
func Fleet(ctx context.Context, o FleetOptions) (broken []string, err error) {
	dir, err := os.MkdirTemp("", "yokestall-demo-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	var run sync.WaitGroup
	var nodes []*fleetNode
	defer func() {
		stop()
		run.Wait()
		for _, n := range nodes {
			err = errors.Join(err, n.close())
		}
	}()
	t := lease.Config{Duration: o.Lease, MaxClockDrift: 0.05, ApplyTimeout: 50 * time.Millisecond}
	var voters []agent.Voter
	for i := range fleetNodes {
		n := &fleetNode{name: string(rune('a' + i))}
		nodes = append(nodes, n)
		if i < fleetVoters {
			if n.listen, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				return nil, err
			}
			voters = append(voters, agent.Voter{Name: n.name, Address: n.listen.Addr().String()})
		}
	}
	for i, n := range nodes {
		if err := n.open(dir, t, voters, i < fleetVoters); err != nil {
			return nil, err
		}
		if n.listen != nil {
			run.Go(func() { n.node.Serve(ctx, n.listen) })
		}
		run.Go(func() { n.node.Run(ctx) })
	}
	client, err := agent.NewClient("demo", voters, nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	d := &fleetDemo{ctx: ctx, out: o.Out, nodes: nodes, client: client}
	fmt.Fprintf(o.Out, "five nodes; a, b and c vote; a lease lasts %v, so a version that contradicts is in force after %v at the latest\n\n", t.Duration, t.ActivationBound().Round(time.Millisecond))
	d.publish("keys are dropped for 6 s", "6s")
	d.all("all act on it", "6s")
	d.publish("keys are dropped for 2 s: nodes that still count on 6 s would send again what the servers have forgotten", "2s")
	d.all("all act on it", "2s")
	fmt.Fprintln(o.Out, "\ne is cut off from all others")
	for _, l := range nodes[4].links {
		l.SetLink(fleet.Link{DropInbound: true, DropOutbound: true})
	}
	d.publish("keys are dropped for 9 s; e hears nothing of it", "9s")
	d.one(4, "e is alone: it refuses what carries keys, since their window may have changed", "-")
	d.one(3, "d, which is not cut off, acts on the new one", "9s")
	fmt.Fprintln(o.Out, "\nthe link is back")
	for _, l := range nodes[4].links {
		l.SetLink(fleet.Link{})
	}
	d.all("all act on it", "9s")
	return d.broken, nil
}

// open opens a node with a link to each voter but itself.
func (n *fleetNode) open(dir string, t lease.Config, voters []agent.Voter, votes bool) error {
	c := agent.Config{
		Fleet: "demo", Name: n.name, Dir: filepath.Join(dir, n.name), Lease: t, Log: slog.New(slog.DiscardHandler),
		Disconnected: lease.DisconnectedPolicy{Effects: lease.Cautious, Routes: lease.Cautious, Servers: lease.Cautious},
		Parse: func(list []config.File) (*consensus.Version, error) {
			s, err := files.Unbundle(list)
			if err != nil {
				return nil, err
			}
			return &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters}, nil
		},
		Apply: func(a consensus.EffectiveVersion) error {
			k := &a.Program.Classes[0]
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.acts = k.DedupWindow.String(); a.Refused[k.Name] != "" {
				n.acts = "-"
			}
			return nil
		},
	}
	for _, v := range voters {
		if v.Name != n.name {
			l, err := fleet.NewRelay(v.Address)
			if err != nil {
				return err
			}
			n.links = append(n.links, l)
			v.Address = l.Addr
		}
		c.Voters = append(c.Voters, v)
	}
	if votes {
		if err := agent.Init(c); err != nil {
			return err
		}
	}
	var err error
	n.node, err = agent.Open(c)
	return err
}

func (n *fleetNode) close() error {
	for _, l := range n.links {
		l.Close()
	}
	if n.node == nil {
		return nil
	}
	return n.node.Close()
}

// now is what the node acts on at this moment; "": nothing.
func (n *fleetNode) now() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.node.MayServe() {
		return ""
	}
	return n.acts
}

// fleetDemo is the demo while it runs.
type fleetDemo struct {
	ctx    context.Context
	out    io.Writer
	nodes  []*fleetNode
	client *agent.Client
	broken []string
}

func (d *fleetDemo) fail(format string, args ...any) {
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
	fmt.Fprintln(d.out, "NOT SO:", d.broken[len(d.broken)-1])
}

// publish publishes a version by its window of keys, and says how long it took.
func (d *fleetDemo) publish(what, window string) {
	ctx, stop := context.WithTimeout(d.ctx, fleetSoon)
	defer stop()
	text := "[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[fleet]\nnodes = 5\n[[class]]\nname = \"push\"\neffect = \"keyed\"\nscope = \"all\"\nwindow = \"" + window +
		"\"\ndeadline = \"1s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"push\"\ncluster = \"rooms\"\n"
	list := []config.File{{Name: files.ProgramPart, Text: []byte(text)}, {Name: "rooms.toml", Text: []byte("[cluster]\nname = \"rooms\"\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n")}}
	began, id := time.Now(), agent.NewID()
	for ctx.Err() == nil {
		s, err := d.client.LatestStatus(ctx)
		if err == nil {
			var p *agent.PublishReply
			if p, err = d.client.Publish(ctx, id, s.LogStatus.ActiveVersion, list); err == nil && p.Number > 0 {
				waits := ""
				o, err := d.client.WaitForVersion(ctx, p.Number, func(o agent.PublishOutcome) {
					if len(o.WaitingFor) > 0 {
						waits = fmt.Sprintf(", having waited for %v", o.WaitingFor)
					}
				})
				if err != nil || !o.InForce {
					break
				}
				fmt.Fprintf(d.out, "version %d, %s: in force after %v%s\n", p.Number, what, time.Since(began).Round(time.Millisecond), waits)
				return
			}
		}
		d.pause()
	}
	d.fail("%s: not in force", what)
}

func (d *fleetDemo) pause() {
	select {
	case <-time.After(20 * time.Millisecond):
	case <-d.ctx.Done():
	}
}

// one waits until a node acts on a window.
func (d *fleetDemo) one(at int, what, window string) {
	for until := time.Now().Add(fleetSoon); ; d.pause() {
		if d.nodes[at].now() == window {
			fmt.Fprintln(d.out, what)
			return
		}
		if time.Now().After(until) || d.ctx.Err() != nil {
			d.fail("%s: %s acts on %q", what, d.nodes[at].name, d.nodes[at].now())
			return
		}
	}
}

// all waits until all nodes do.
func (d *fleetDemo) all(what, window string) {
	for until := time.Now().Add(fleetSoon); ; d.pause() {
		behind := ""
		for _, n := range d.nodes {
			if now := n.now(); now != window {
				behind += fmt.Sprintf(" %s: %q", n.name, now)
			}
		}
		if behind == "" {
			fmt.Fprintln(d.out, what)
			return
		}
		if time.Now().After(until) || d.ctx.Err() != nil {
			d.fail("%s:%s", what, behind)
			return
		}
	}
}
