package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
	"yokestall/internal/fleet/lease"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var quick = lease.Config{Duration: 400 * time.Millisecond, MaxClockDrift: 0.05, ApplyTimeout: 50 * time.Millisecond}

// bundle is a version of a program, which says how its one class behaves.
func bundle(effect string) []config.File {
	return []config.File{
		{Name: files.ProgramPart, Text: []byte("[listen]\naddress = \"127.0.0.1:0\"\n[files]\nclusters = \"c\"\n[fleet]\n" +
			"nodes = 9\n[[class]]\nname = \"a\"\neffect = \"" + effect +
			"\"\ndeadline = \"1s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"a\"\ncluster = \"rooms\"\n")},
		{Name: "rooms.toml", Text: []byte("[cluster]\nname = \"rooms\"\n[[endpoint]]\nid = \"s\"\n" +
			"address = \"127.0.0.1:9\"\nzone = \"a\"\nweight = 1\n[end]\nendpoints = 1\n")},
	}
}

// group is a fleet within a test.
type group struct {
	t      testing.TB
	dir    string
	voters []VoterAddress
	nodes  []*one
	client *Client
	keys   []*tlskeys.Store // by node; nil: clear text
	with   func(i int, c *Config)
}

type one struct {
	name   string
	listen string
	stop   context.CancelFunc
	done   sync.WaitGroup
	node   *Node
	cannot func(v *consensus.Version) error

	mu               sync.Mutex
	parsed, extended int
	acts             []string // effects of the class, as they were taken; "-" where it is refused
}

func newGroup(t testing.TB, voters, followers int, keys ...*tlskeys.Store) *group {
	return newGroupOf(t, voters, followers, func(int, *Config) {}, keys...)
}

// newGroupOf is newGroup with something done to each node's configuration.
func newGroupOf(t testing.TB, voters, followers int, with func(i int, c *Config), keys ...*tlskeys.Store) *group {
	g := &group{t: t, dir: t.TempDir(), keys: keys, with: with}
	for i := range voters + followers {
		n := &one{name: fmt.Sprint("n", i)}
		if i < voters {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			n.listen = l.Addr().String()
			l.Close()
			g.voters = append(g.voters, VoterAddress{n.name, n.listen})
		}
		g.nodes = append(g.nodes, n)
	}
	for i := range voters {
		if err := Init(g.config(i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range g.nodes {
		g.start(i)
	}
	var show *tls.Config
	if len(keys) > 0 {
		show = keys[0].ClientConfig(tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"})
	}
	var err error
	if g.client, err = NewClient("f", g.voters, show); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.client.Close()
		for i := range g.nodes {
			g.kill(i)
		}
	})
	return g
}

func (g *group) config(i int) Config {
	n := g.nodes[i]
	c := Config{
		Fleet: "f", Name: n.name, Dir: filepath.Join(g.dir, n.name), Voters: g.voters, Lease: quick,
		Log:          slog.New(slog.DiscardHandler),
		Disconnected: lease.DisconnectedPolicy{Effects: lease.Cautious, Routes: lease.Cautious, Servers: lease.Cautious},
		Parse: func(list []config.File) (*consensus.Version, error) {
			n.mu.Lock()
			n.parsed++
			n.mu.Unlock()
			s, err := files.Unbundle(list)
			if err != nil {
				return nil, err
			}
			v := &consensus.Version{Program: s.Program, Clusters: s.Version.Clusters}
			if n.cannot != nil {
				return v, n.cannot(v)
			}
			return v, nil
		},
		Extend: func(v *consensus.Version, changes []config.File) (*consensus.Version, error) {
			n.mu.Lock()
			n.extended++
			n.mu.Unlock()
			clusters, err := files.Change(v.Clusters, changes)
			return &consensus.Version{Program: v.Program, Clusters: clusters}, err
		},
		Apply: func(a consensus.EffectiveVersion) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			c := a.Program.Classes[0]
			word := []string{"safe", "keyed", "unsafe"}[c.Idempotency]
			if a.RefusedClasses[c.Name] != "" {
				word = "-"
			}
			n.acts = append(n.acts, word)
			return nil
		},
	}
	if len(g.keys) > 0 {
		k := g.keys[i%len(g.keys)]
		c.ServerTLS = k.ServerConfig(tlskeys.ClientAuth{Roots: "fleet", Require: true}, "h2")
		c.ClientTLS = k.ClientConfig(tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"})
	}
	g.with(i, &c)
	return c
}

func (g *group) start(i int) {
	g.t.Helper()
	n := g.nodes[i]
	var err error
	if n.node, err = Open(g.config(i)); err != nil {
		g.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	if n.listen != "" {
		l, err := net.Listen("tcp", n.listen)
		if err != nil {
			g.t.Fatal(err)
		}
		n.done.Go(func() { n.node.Serve(ctx, l) })
	}
	n.done.Go(func() { n.node.Run(ctx) })
}

// kill ends a node; it is not told of anything that a crash would not tell.
func (g *group) kill(i int) {
	n := g.nodes[i]
	if n.stop == nil {
		return
	}
	n.stop()
	n.done.Wait()
	n.node.Close()
	n.stop = nil
}

func (g *group) patience() context.Context {
	ctx, stop := context.WithTimeout(context.Background(), testutil.Patience)
	g.t.Cleanup(stop)
	return ctx
}

// publish publishes until it is known what became of it.
func (g *group) publish(id string, base uint64, list []config.File) *PublishReply {
	g.t.Helper()
	var out *PublishReply
	testutil.Until(g.t, "word of the publish "+id, func() bool {
		p, err := g.client.Publish(g.patience(), id, base, list)
		out = p
		return err == nil && (p.Number > 0 || !p.Retry)
	})
	return out
}

func (g *group) inForce(number uint64) PublishOutcome {
	g.t.Helper()
	o, err := g.client.WaitForVersion(g.patience(), number, func(PublishOutcome) {})
	if err != nil {
		g.t.Fatal(err)
	}
	return o
}

// acts waits until a node acts on an effect, last.
func (g *group) acts(i int, effect string) {
	g.t.Helper()
	n := g.nodes[i]
	testutil.Until(g.t, n.name+" to act on "+effect, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.acts) > 0 && n.acts[len(n.acts)-1] == effect && n.node.MayServe()
	})
}

// Two publishers at once, the same publish twice, a way back, and what a version that contradicts looks like from a
// node.
func TestPublishing(t *testing.T) {
	g := newGroup(t, 3, 2)
	first := g.publish("one", 0, bundle("safe"))
	if first.Number != 1 || first.Contradicts || !g.inForce(1).InForce {
		t.Fatalf("%+v", first)
	}
	for i := range g.nodes {
		g.acts(i, "safe")
	}
	results := make(chan *PublishReply, 2)
	for _, effect := range []string{"unsafe", "keyed\"\nscope = \"all\"\nwindow = \"5s"} {
		go func() { results <- g.publish("two-"+effect, 1, bundle(effect)) }()
	}
	a, b := <-results, <-results
	if a.Number == 0 {
		a, b = b, a
	}
	if a.Number != 2 || !a.Contradicts || b.Number != 0 || b.Error == "" {
		t.Fatalf("of two at once: %+v, %+v", a, b)
	}
	if !g.inForce(2).InForce {
		t.Fatal("not in force")
	}
	late := g.publish("three", 1, bundle("unsafe"))
	if late.Number != 0 || !strings.Contains(late.Error, "not the present one") || late.ActiveVersion != 2 {
		t.Errorf("from an old version: %+v", late)
	}
	if again := g.publish("one", 0, bundle("safe")); again.Number != 1 {
		t.Errorf("the same publish again: %+v", again)
	}
	back, err := g.client.Rollback(g.patience(), "back", 2, 1)
	if err != nil || back.Number != 3 || !g.inForce(3).InForce {
		t.Fatalf("%+v, %v", back, err)
	}
	for i := range g.nodes {
		g.acts(i, "safe")
	}
}

// A version that one node can't hold is acted on by nobody, and the answer says which node, and why; one that nobody
// can read is not proposed.
func TestRefused(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.publish("one", 0, bundle("safe"))
	for i := range g.nodes {
		g.acts(i, "safe")
	}
	g.nodes[3].cannot = func(v *consensus.Version) error {
		if v.Program.Classes[0].Idempotency != 0 {
			return errors.New("an older program knows no such class")
		}
		return nil
	}
	p := g.publish("two", 1, bundle("unsafe"))
	if o := g.inForce(p.Number); o.InForce || !strings.HasPrefix(o.RefusalReason, "n3: an older program") {
		t.Errorf("%+v", o)
	}
	if s, err := g.client.LatestStatus(g.patience()); err != nil || s.LogStatus.ActiveVersion != 1 ||
		s.LogStatus.PendingVersion != 0 {
		t.Errorf("%+v, %v", s, err)
	}
	for i := range g.nodes {
		g.acts(i, "safe")
	}
	bad := g.publish("three", 1, bundle("brave"))
	if bad.Number != 0 || !strings.Contains(bad.Error, "brave") {
		t.Errorf("a version that can't be read: %+v", bad)
	}
	other := config.File{
		Name: "x.toml",
		Text: []byte("[cluster]\nname = \"other\"\nno_servers = \"on purpose\"\n[end]\nendpoints = 0\n"),
	}
	if next := g.publish("four", 1, append(bundle("safe"), other)); next.Number == 0 {
		t.Errorf("after a refusal: %+v", next)
	}
}

// A voter's power goes with its disk or without; a publisher whose leader died finds out; nodes without voters act
// alone, and start so.
func TestVotersDie(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.publish("one", 0, bundle("safe"))
	for i := range g.nodes {
		g.acts(i, "safe")
	}
	s, err := g.client.LatestStatus(g.patience())
	if err != nil {
		t.Fatal(err)
	}
	leader := 0
	for i, v := range g.voters {
		if v.Name == s.Leader {
			leader = i
		}
	}
	done := make(chan *PublishReply, 1)
	go func() { done <- g.publish("two", 1, bundle("unsafe")) }()
	g.kill(leader)
	if p := testutil.Wait(t, done, "what became of the publish"); p.Number != 2 || !g.inForce(2).InForce {
		t.Fatalf("%+v", p)
	}
	g.acts(3, "unsafe")
	g.start(leader)
	g.acts(leader, "unsafe")
	for i := range g.voters {
		g.kill(i)
	}
	g.acts(3, "-") // unsafe requests are refused by who is alone
	g.kill(3)
	g.nodes[3].acts = nil
	g.start(3)
	// The status arrives without a grant, as from a single voter.
	g.nodes[3].node.handleLeaseReply(nil, &consensus.LogStatus{Index: 1, ActiveVersion: 2})
	g.acts(3, "-")
	for i := range g.voters {
		g.start(i)
	}
	g.acts(3, "unsafe")
}

// A voter whose disk fails votes no more and says so; it goes on to act on what the others agree on, and they need it
// for nothing.
func TestDiskFails(t *testing.T) {
	g := newGroup(t, 3, 0)
	g.publish("one", 0, bundle("safe"))
	for i := range g.nodes {
		g.acts(i, "safe")
	}
	g.nodes[1].node.store.Close() // from here on each write and read fails
	if p := g.publish("two", 1, bundle("unsafe")); !g.inForce(p.Number).InForce {
		t.Fatalf("%+v", p)
	}
	for i := range g.nodes {
		g.acts(i, "unsafe")
	}
	testutil.Until(t, "the voter to say so", func() bool {
		a := g.client.Status(g.patience())[1]
		return a.Status != nil && !a.Status.Voter &&
			strings.Contains(a.Status.VotingError, "nothing is written after a failure")
	})
	g.publish("three", 2, bundle("safe"))
	g.acts(1, "safe")
}

// A voter that comes back on an old copy of its disk votes no more, and says so; the fleet goes on without it, and it
// acts by what the others agree on.
func TestOldCopyOfADisk(t *testing.T) {
	g := newGroup(t, 3, 0)
	g.publish("one", 0, bundle("safe"))
	g.kill(1)
	path := filepath.Join(g.dir, "n1", "agree.db")
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	g.start(1)
	g.acts(1, "safe")
	if p := g.publish("two", 1, bundle("unsafe")); !g.inForce(p.Number).InForce {
		t.Fatalf("%+v", p)
	}
	g.kill(1)
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	g.start(1)
	testutil.Until(t, "the voter to say so", func() bool {
		a := g.client.Status(g.patience())[1]
		return a.Status != nil && !a.Status.Voter &&
			strings.Contains(a.Status.VotingError, "an old copy of this voter's disk")
	})
	if p := g.publish("three", 2, bundle("safe")); !g.inForce(p.Number).InForce {
		t.Fatalf("%+v", p)
	}
	g.acts(1, "safe")
}

// Who names another fleet, or shows no key of this one, is turned away, whatever it goes on to say.
func TestStrangers(t *testing.T) {
	own, other := t.TempDir(), t.TempDir()
	for _, dir := range []string{own, other} {
		ca, err := keymaker.New("fleet")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "fleet.ca"), ca.PEM, 0o600); err != nil {
			t.Fatal(err)
		}
		cert, key, err := ca.Issue(time.Now().Add(-time.Hour), time.Now().Add(time.Hour), "127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(os.WriteFile(filepath.Join(dir, "node.crt"), cert, 0o600),
			os.WriteFile(filepath.Join(dir, "node.key"), key, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	log := slog.New(slog.DiscardHandler)
	ours, err := tlskeys.Open(own, "node", log)
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := tlskeys.Open(other, "node", log)
	if err != nil {
		t.Fatal(err)
	}
	g := newGroup(t, 1, 0, ours)
	g.publish("one", 0, bundle("safe"))
	for _, tc := range []struct {
		what, fleet string
		with        *tls.Config
		want        codes.Code
	}{
		{"another fleet", "other", ours.ClientConfig(tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"}), codes.PermissionDenied},
		{"no key", "f", ours.ClientConfig(tlskeys.ServerAuth{Roots: "fleet"}), codes.Unavailable},
		{"another key", "f", theirs.ClientConfig(tlskeys.ServerAuth{Roots: "fleet", Certificate: "node"}), codes.Unavailable},
		{"clear text", "f", nil, codes.Unavailable},
	} {
		c, err := Dial(g.voters[0], tc.with, tc.fleet)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(context.Background(), testutil.Patience)
		if _, err := c.Status(ctx); status.Code(err) != tc.want {
			t.Errorf("%s: %v", tc.what, err)
		}
		stop()
		c.Close()
	}
}

// What is too large, or too much, gets an answer that says so; the fleet goes on.
func TestTooMuch(t *testing.T) {
	g := newGroup(t, 1, 0)
	g.publish("one", 0, bundle("safe"))
	many := bundle("safe")
	for i := range consensus.MaxFiles {
		many = append(many, config.File{Name: fmt.Sprint("f", i)})
	}
	if _, err := g.client.Publish(g.patience(), "many", 1, many); err == nil {
		t.Error("too many files")
	}
	big := append(bundle("safe"), config.File{Name: "big.toml", Text: make([]byte, config.MaxFile+1)})
	if _, err := g.client.Publish(g.patience(), "big", 1, big); err == nil {
		t.Error("a file over the limit")
	}
	var flood sync.WaitGroup
	taken := make(chan uint64, 200)
	for i := range 200 {
		flood.Go(func() {
			p, err := g.client.Publish(g.patience(), fmt.Sprint("flood-", i), 1, bundle("unsafe"))
			if err == nil {
				taken <- p.Number
			}
		})
	}
	flood.Wait()
	close(taken)
	numbers := map[uint64]bool{}
	for n := range taken {
		numbers[n] = true
	}
	delete(numbers, 0)
	if len(numbers) != 1 {
		t.Errorf("of a flood from one base: %v", numbers)
	}
	if !g.inForce(2).InForce {
		t.Error("not in force")
	}
}
