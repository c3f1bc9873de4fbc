package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/fake/fleet"
	"yokestall/internal/files"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/lease"
)

// FleetOptions are the options of Fleet.
type FleetOptions struct {
	Out           io.Writer
	LeaseDuration time.Duration
}

const (
	fleetNodes  = 5
	fleetVoters = 3
	// fleetTimeout bounds the wait for each step's effect.
	fleetTimeout = 10 * time.Second
	// fleetPollInterval is between two looks at the nodes.
	fleetPollInterval = 20 * time.Millisecond
	// maxClockDrift is the fraction by which the nodes' clocks may differ in speed.
	maxClockDrift = 0.05
	applyTimeout  = 50 * time.Millisecond
)

// The indexes of the node that is cut off, and of one that doesn't vote either but is not cut off.
const (
	cutOffNode    = 4
	connectedNode = 3
)

// Fleet shows five nodes, three of which vote, that agree on versions while one of them is cut off. It returns what
// did not come out as it should.
func Fleet(ctx context.Context, o FleetOptions) (violations []string, err error) {
	dir, err := os.MkdirTemp("", "yokestall-demo-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	d := &fleetDemo{out: o.Out}
	d.ctx, d.stop = context.WithCancel(ctx)
	defer func() { err = errors.Join(err, d.close()) }()
	leases := lease.Config{Duration: o.LeaseDuration, MaxClockDrift: maxClockDrift, ApplyTimeout: applyTimeout}
	if err := d.start(dir, leases); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Out, "five nodes; a, b and c vote; a lease lasts %v, "+
		"so a version that contradicts is in force after %v at the latest\n\n",
		leases.Duration, leases.ActivationBound().Round(time.Millisecond))
	d.run()
	return d.violations, nil
}

// fleetDemo is a run of the demo.
type fleetDemo struct {
	ctx        context.Context // of the run
	stop       func()          // ends ctx
	running    sync.WaitGroup  // the nodes
	out        io.Writer
	nodes      []*fleetNode
	client     *agent.Client // nil before start has created it
	violations []string
}

// start starts the nodes and a client that publishes versions.
func (d *fleetDemo) start(dir string, leases lease.Config) error {
	voters, err := d.listen()
	if err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := n.open(dir, leases, voters); err != nil {
			return err
		}
		if n.listener != nil {
			d.running.Go(func() { n.node.Serve(d.ctx, n.listener) })
		}
		d.running.Go(func() { n.node.Run(d.ctx) })
	}
	d.client, err = agent.NewClient("demo", voters, nil)
	return err
}

// listen creates the nodes, and listeners for those that vote.
func (d *fleetDemo) listen() (voters []agent.VoterAddress, err error) {
	for i := range fleetNodes {
		n := &fleetNode{name: string(rune('a' + i))}
		d.nodes = append(d.nodes, n)
		if i >= fleetVoters {
			continue
		}
		if n.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		voters = append(voters, agent.VoterAddress{Name: n.name, Address: n.listener.Addr().String()})
	}
	return voters, nil
}

// close ends what start has started.
func (d *fleetDemo) close() (err error) {
	if d.client != nil {
		d.client.Close()
	}
	d.stop()
	d.running.Wait()
	for _, n := range d.nodes {
		err = errors.Join(err, n.close())
	}
	return err
}

// run publishes versions and shows which node acts on which, before, while and after one of them is cut off.
func (d *fleetDemo) run() {
	d.publish("keys are dropped for 6 s", "6s")
	d.awaitAll("6s")
	d.publish("keys are dropped for 2 s: "+
		"nodes that still count on 6 s would send again what the servers have forgotten", "2s")
	d.awaitAll("2s")
	fmt.Fprintln(d.out, "\ne is cut off from all others")
	d.nodes[cutOffNode].setLinks(fleet.Link{DropInbound: true, DropOutbound: true})
	d.publish("keys are dropped for 9 s; e hears nothing of it", "9s")
	d.awaitNode(cutOffNode,
		"e is alone: it refuses what carries keys, since their window may have changed", keyedRefused)
	d.awaitNode(connectedNode, "d, which is not cut off, acts on the new one", "9s")
	fmt.Fprintln(d.out, "\nthe link is back")
	d.nodes[cutOffNode].setLinks(fleet.Link{})
	d.awaitAll("9s")
}

// violation adds and prints what did not come out as it should.
func (d *fleetDemo) violation(format string, args ...any) {
	v := fmt.Sprintf(format, args...)
	d.violations = append(d.violations, v)
	fmt.Fprintln(d.out, "NOT SO:", v)
}

// versionFiles returns the files of a version with a deduplication window.
func versionFiles(window string) []config.File {
	program := "[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[fleet]\nnodes = 5\n" +
		"[[class]]\nname = \"push\"\neffect = \"keyed\"\nscope = \"all\"\nwindow = \"" + window + "\"\n" +
		"deadline = \"1s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"push\"\ncluster = \"rooms\"\n"
	cluster := "[cluster]\nname = \"rooms\"\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n"
	return []config.File{
		{Name: files.ProgramPart, Text: []byte(program)},
		{Name: "rooms.toml", Text: []byte(cluster)},
	}
}

// publish publishes a version with a deduplication window, and prints how long it took to be in force.
func (d *fleetDemo) publish(description, window string) {
	ctx, stop := context.WithTimeout(d.ctx, fleetTimeout)
	defer stop()
	began, id := time.Now(), agent.NewID()
	number, ok := d.propose(ctx, id, versionFiles(window))
	if !ok {
		d.violation("%s: not in force", description)
		return
	}
	waited := ""
	outcome, err := d.client.WaitForVersion(ctx, number, func(o agent.PublishOutcome) {
		if len(o.WaitingFor) > 0 {
			waited = fmt.Sprintf(", having waited for %v", o.WaitingFor)
		}
	})
	if err != nil || !outcome.InForce {
		d.violation("%s: not in force", description)
		return
	}
	fmt.Fprintf(d.out, "version %d, %s: in force after %v%s\n",
		number, description, time.Since(began).Round(time.Millisecond), waited)
}

// propose publishes files until they have a version's number; false: ctx has ended before.
func (d *fleetDemo) propose(ctx context.Context, id string, list []config.File) (number uint64, ok bool) {
	for ctx.Err() == nil {
		status, err := d.client.LatestStatus(ctx)
		if err == nil {
			reply, err := d.client.Publish(ctx, id, status.LogStatus.ActiveVersion, list)
			if err == nil && reply.Number > 0 {
				return reply.Number, true
			}
		}
		d.pause()
	}
	return 0, false
}

// pause waits until the nodes are to be looked at again.
func (d *fleetDemo) pause() {
	select {
	case <-time.After(fleetPollInterval):
	case <-d.ctx.Done():
	}
}

// awaitNode waits until the node with an index acts on a window.
func (d *fleetDemo) awaitNode(index int, description, window string) {
	n := d.nodes[index]
	d.await(description, func() string {
		if active := n.activeWindow(); active != window {
			return fmt.Sprintf(" %s acts on %q", n.name, active)
		}
		return ""
	})
}

// awaitAll waits until all nodes act on a window.
func (d *fleetDemo) awaitAll(window string) {
	d.await("all act on it", func() (behind string) {
		for _, n := range d.nodes {
			if active := n.activeWindow(); active != window {
				behind += fmt.Sprintf(" %s: %q", n.name, active)
			}
		}
		return behind
	})
}

// await waits until a difference from what is described is "", and prints the description.
func (d *fleetDemo) await(description string, difference func() string) {
	deadline := time.Now().Add(fleetTimeout)
	for {
		text := difference()
		if text == "" {
			fmt.Fprintln(d.out, description)
			return
		}
		if time.Now().After(deadline) || d.ctx.Err() != nil {
			d.violation("%s:%s", description, text)
			return
		}
		d.pause()
	}
}
