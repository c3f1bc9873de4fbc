package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/lease"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var testLeaseConfig = lease.Config{
	Duration: 400 * time.Millisecond, MaxClockDrift: 0.05, ApplyTimeout: 50 * time.Millisecond,
}

// versionWithEffect returns the files of a version whose only class has the given effect: safe, keyed or unsafe.
func versionWithEffect(effect string) []config.File {
	return []config.File{
		{Name: files.ProgramPart, Text: []byte("[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[fleet]\n" +
			"nodes = 9\n[[class]]\nname = \"a\"\neffect = \"" + effect +
			"\"\ndeadline = \"1s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"a\"\ncluster = \"rooms\"\n")},
		{Name: "rooms.toml", Text: []byte("[cluster]\nname = \"rooms\"\n[[endpoint]]\nid = \"s\"\n" +
			"address = \"127.0.0.1:9\"\nzone = \"a\"\nweight = 1\n[end]\nendpoints = 1\n")},
	}
}

// testFleet is a fleet within the test process. Its first nodes are the voters, the others are non-voters.
type testFleet struct {
	t         testing.TB
	dir       string // parent directory of the nodes' stores
	voters    []VoterAddress
	nodes     []*testNode
	client    *Client
	keys      []*tlskeys.Store       // the nodes use them in turn; empty: clear text
	configure func(i int, c *Config) // adjusts the configuration of the node with index i
}

// testNode is a node of a testFleet. It also stands for the program that acts on the versions.
type testNode struct {
	name         string
	address      string             // address on which the node serves; "": the node is a non-voter
	stop         context.CancelFunc // nil: the node is not running
	running      sync.WaitGroup
	node         *Node
	checkVersion func(v *consensus.Version) error // additional validation in Parse; nil: none

	mu               sync.Mutex // guards the fields below
	parsed, extended int        // numbers of calls of parse and extend
	effects          []string   // effect of the class in each applied version; "-" if its requests are refused
}

// newTestFleet starts a fleet, which ends with the test. Without keys, the nodes communicate in clear text.
func newTestFleet(t testing.TB, voters, followers int, keys ...*tlskeys.Store) *testFleet {
	return newTestFleetWith(t, voters, followers, func(int, *Config) {}, keys...)
}

// newTestFleetWith is like newTestFleet, and calls configure on each node's configuration.
func newTestFleetWith(
	t testing.TB, voters, followers int, configure func(i int, c *Config), keys ...*tlskeys.Store,
) *testFleet {
	f := &testFleet{t: t, dir: t.TempDir(), keys: keys, configure: configure}
	for i := range voters + followers {
		f.addNode(i, i < voters)
	}
	for i := range voters {
		if err := Init(f.config(i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range f.nodes {
		f.start(i)
	}
	f.connectClient()
	t.Cleanup(func() {
		f.client.Close()
		for i := range f.nodes {
			f.kill(i)
		}
	})
	return f
}

// addNode adds a node without starting it.
func (f *testFleet) addNode(i int, voter bool) {
	f.t.Helper()
	n := &testNode{name: fmt.Sprint("n", i)}
	if voter {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		n.address = l.Addr().String()
		l.Close()
		f.voters = append(f.voters, VoterAddress{n.name, n.address})
	}
	f.nodes = append(f.nodes, n)
}

// connectClient creates the fleet's client.
func (f *testFleet) connectClient() {
	f.t.Helper()
	var with *tls.Config
	if len(f.keys) > 0 {
		with = f.keys[0].ClientConfig(tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"})
	}
	var err error
	if f.client, err = NewClient("f", f.voters, with); err != nil {
		f.t.Fatal(err)
	}
}

// config returns the configuration of a node.
func (f *testFleet) config(i int) Config {
	n := f.nodes[i]
	c := Config{
		Fleet: "f", Name: n.name, Dir: filepath.Join(f.dir, n.name), Voters: f.voters, Lease: testLeaseConfig,
		Log:          slog.New(slog.DiscardHandler),
		Disconnected: lease.DisconnectedPolicy{Idempotency: lease.Cautious, Routes: lease.Cautious, Endpoints: lease.Cautious},
		Parse:        n.parse, Extend: n.extend, Apply: n.apply,
	}
	if len(f.keys) > 0 {
		k := f.keys[i%len(f.keys)]
		c.ServerTLS = k.ServerConfig(tlskeys.ClientAuth{Roots: "fleet", Require: true}, "h2")
		c.ClientTLS = k.ClientConfig(tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"})
	}
	f.configure(i, &c)
	return c
}

func (n *testNode) parse(list []config.File) (*consensus.Version, error) {
	n.mu.Lock()
	n.parsed++
	n.mu.Unlock()
	s, err := files.Unbundle(list)
	if err != nil {
		return nil, err
	}
	v := &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters}
	if n.checkVersion != nil {
		return v, n.checkVersion(v)
	}
	return v, nil
}

func (n *testNode) extend(v *consensus.Version, changes []config.File) (*consensus.Version, error) {
	n.mu.Lock()
	n.extended++
	n.mu.Unlock()
	clusters, err := files.Change(v.Clusters, changes)
	return &consensus.Version{Program: v.Program, Clusters: clusters}, err
}

func (n *testNode) apply(v consensus.EffectiveVersion) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	class := v.Program.Classes[0]
	effect := []string{"safe", "keyed", "unsafe"}[class.Idempotency]
	if v.RejectedClasses[class.Name] != "" {
		effect = "-"
	}
	n.effects = append(n.effects, effect)
	return nil
}

// start opens and runs a node.
func (f *testFleet) start(i int) {
	f.t.Helper()
	n := f.nodes[i]
	var err error
	if n.node, err = Open(f.config(i)); err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	if n.address != "" {
		l, err := net.Listen("tcp", n.address)
		if err != nil {
			f.t.Fatal(err)
		}
		n.running.Go(func() { n.node.Serve(ctx, l) })
	}
	n.running.Go(func() { n.node.Run(ctx) })
}

// kill stops a node, if it is running, without notice to the other nodes.
func (f *testFleet) kill(i int) {
	n := f.nodes[i]
	if n.stop == nil {
		return
	}
	n.stop()
	n.running.Wait()
	n.node.Close()
	n.stop = nil
}

// context returns a context with a timeout of testutil.WaitTimeout.
func (f *testFleet) context() context.Context {
	ctx, stop := context.WithTimeout(context.Background(), testutil.WaitTimeout)
	f.t.Cleanup(stop)
	return ctx
}

// publish publishes a version, and repeats that until a reply is final.
func (f *testFleet) publish(id string, base uint64, list []config.File) *PublishReply {
	f.t.Helper()
	var reply *PublishReply
	testutil.Until(f.t, "a final reply to the publish "+id, func() bool {
		var err error
		reply, err = f.client.Publish(f.context(), id, base, list)
		return err == nil && (reply.Number > 0 || !reply.Retry)
	})
	return reply
}

// waitForOutcome waits until a version is in force or refused.
func (f *testFleet) waitForOutcome(number uint64) PublishOutcome {
	f.t.Helper()
	outcome, err := f.client.WaitForVersion(f.context(), number, func(PublishOutcome) {})
	if err != nil {
		f.t.Fatal(err)
	}
	return outcome
}

// waitForEffect waits until the class has the given effect in the version that a node applied last, and the node may act
// on that version. The effect "-" means that the requests of the class are refused.
func (f *testFleet) waitForEffect(i int, effect string) {
	f.t.Helper()
	n := f.nodes[i]
	testutil.Until(f.t, n.name+" to act on a version with the effect "+effect, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.effects) > 0 && n.effects[len(n.effects)-1] == effect && n.node.MayServe()
	})
}
