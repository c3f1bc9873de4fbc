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
	// fleetTimeout is the maximum wait for the effect of each step.
	fleetTimeout = 10 * time.Second
	// fleetPollInterval is the time between two checks of the state of the nodes.
	fleetPollInterval = 20 * time.Millisecond
	// maxClockDrift is the maximum fraction by which the speeds of the clocks of the nodes may differ.
	maxClockDrift = 0.05
	applyTimeout  = 50 * time.Millisecond
)

// Indexes of the node that is partitioned from the others, and of a node that stays connected. Neither is a voter.
const (
	partitionedNode = 4
	connectedNode   = 3
)

// Fleet shows how five nodes, three of which are voters, agree on versions while one node is partitioned from the others.
// violations describes each step that did not have the expected effect.
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
	fmt.Fprintf(o.Out, "five nodes, of which a, b and c are voters; the lease duration is %v, "+
		"so a contradicting version is in force after at most %v\n\n",
		leases.Duration, leases.ActivationBound().Round(time.Millisecond))
	d.run()
	return d.violations, nil
}

// fleetDemo is the state of a run of the fleet demo.
type fleetDemo struct {
	ctx        context.Context // context of the run
	stop       func()          // ends ctx
	running    sync.WaitGroup  // goroutines of the nodes
	out        io.Writer
	nodes      []*fleetNode
	client     *agent.Client // nil until start has created the client
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

// listen creates the nodes and the listeners of the voters.
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

// close stops the client and the nodes that start has started.
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

// run publishes versions and shows which node uses which version before, during and after the partition of a node.
func (d *fleetDemo) run() {
	d.publish("deduplication window of 6 s", "6s")
	d.awaitAll("6s")
	d.publish("deduplication window of 2 s: "+
		"nodes that still use 6 s could retry requests that servers no longer recognize as duplicates", "2s")
	d.awaitAll("2s")
	fmt.Fprintln(d.out, "\ne is partitioned from all other nodes")
	d.nodes[partitionedNode].setLinks(fleet.Link{DropInbound: true, DropOutbound: true})
	d.publish("deduplication window of 9 s, which e does not receive", "9s")
	d.awaitNode(partitionedNode,
		"e is disconnected and rejects requests with idempotency keys, since the window may have changed", keyedRefused)
	d.awaitNode(connectedNode, "d, which is connected, uses the new version", "9s")
	fmt.Fprintln(d.out, "\nthe partition is healed")
	d.nodes[partitionedNode].setLinks(fleet.Link{})
	d.awaitAll("9s")
}

// addViolation adds and prints a violation: a step that did not have the expected effect.
func (d *fleetDemo) addViolation(format string, args ...any) {
	v := fmt.Sprintf(format, args...)
	d.violations = append(d.violations, v)
	fmt.Fprintln(d.out, "VIOLATION:", v)
}

// versionFiles returns the files of a version with the given deduplication window.
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

// publish publishes a version with the given deduplication window and prints the time until the version is in force.
func (d *fleetDemo) publish(description, window string) {
	ctx, stop := context.WithTimeout(d.ctx, fleetTimeout)
	defer stop()
	began, id := time.Now(), agent.NewID()
	number, ok := d.propose(ctx, id, versionFiles(window))
	if !ok {
		d.addViolation("version not in force: %s", description)
		return
	}
	waited := ""
	outcome, err := d.client.WaitForVersion(ctx, number, func(o agent.PublishOutcome) {
		if len(o.WaitingFor) > 0 {
			waited = fmt.Sprintf(", having waited for %v", o.WaitingFor)
		}
	})
	if err != nil || !outcome.InForce {
		d.addViolation("version not in force: %s", description)
		return
	}
	fmt.Fprintf(d.out, "version %d (%s) is in force after %v%s\n",
		number, description, time.Since(began).Round(time.Millisecond), waited)
}

// propose publishes files, with retries, until they have a version number. ok is false if ctx ended before.
func (d *fleetDemo) propose(ctx context.Context, id string, list []config.File) (number uint64, ok bool) {
	for ctx.Err() == nil {
		status, err := d.client.LatestStatus(ctx)
		if err == nil {
			reply, err := d.client.Publish(ctx, id, status.LogStatus.ActiveVersion, list)
			if err == nil && reply.Number > 0 {
				return reply.Number, true
			}
		}
		d.sleep()
	}
	return 0, false
}

// sleep waits for fleetPollInterval or until the run ends.
func (d *fleetDemo) sleep() {
	select {
	case <-time.After(fleetPollInterval):
	case <-d.ctx.Done():
	}
}

// awaitNode waits until the node with the given index uses the given deduplication window.
func (d *fleetDemo) awaitNode(index int, description, window string) {
	n := d.nodes[index]
	d.await(description, func() string {
		if active := n.activeWindow(); active != window {
			return fmt.Sprintf(" %s uses %q", n.name, active)
		}
		return ""
	})
}

// awaitAll waits until all nodes use the given deduplication window.
func (d *fleetDemo) awaitAll(window string) {
	d.await("all nodes use this version", func() (behind string) {
		for _, n := range d.nodes {
			if active := n.activeWindow(); active != window {
				behind += fmt.Sprintf(" %s: %q", n.name, active)
			}
		}
		return behind
	})
}

// await waits until the function difference returns "", which means that the described state is reached, and then prints
// the description. After fleetTimeout, it adds a violation instead.
func (d *fleetDemo) await(description string, difference func() string) {
	deadline := time.Now().Add(fleetTimeout)
	for {
		text := difference()
		if text == "" {
			fmt.Fprintln(d.out, description)
			return
		}
		if time.Now().After(deadline) || d.ctx.Err() != nil {
			d.addViolation("%s:%s", description, text)
			return
		}
		d.sleep()
	}
}
