package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/controlplane"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
	"yokestall/internal/xds"
	"yokestall/internal/xds/ads"
)

// xdsProgram follows a control plane at an address, as "ingress" says.
func xdsProgram(t testing.TB, addr, variant, more string) *files.Snapshot {
	text := program[:strings.Index(program, "[[host]]")] +
		fmt.Sprintf("[xds]\nservers = [%q]\nvariant = %q\nnode_id = \"test\"\nlistener = \"ingress\"\nclass = \"read\"\n%s", addr, variant, more)
	return snapshot(parse(t, text))
}

var bothVariants = []string{"incremental", "state-of-the-world"}

func message(t testing.TB, m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func ingressRoutes(t testing.TB) proto.Message {
	return &listenerv3.Listener{Name: "ingress", ApiListener: &listenerv3.ApiListener{ApiListener: message(t, &hcmv3.HttpConnectionManager{
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{RouteConfigName: "main"}},
	})}}
}

// toCluster is a route by prefix, with a class in its metadata.
func toCluster(prefix, cluster, class string) *routev3.Route {
	return &routev3.Route{
		Name:   prefix,
		Match:  &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: prefix}},
		Action: &routev3.Route_Route{Route: &routev3.RouteAction{ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: cluster}}},
		Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"yokestall": {Fields: map[string]*structpb.Value{
			"class": structpb.NewStringValue(class),
		}}}},
	}
}

func mainRoutes(routes ...*routev3.Route) proto.Message {
	return &routev3.RouteConfiguration{Name: "main", VirtualHosts: []*routev3.VirtualHost{{Name: "all", Domains: []string{"*"}, Routes: routes}}}
}

func edsCluster(name string) proto.Message {
	return &clusterv3.Cluster{Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS}}
}

func lbEndpoint(addr string, h corev3.HealthStatus) *endpointv3.LbEndpoint {
	host, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	return &endpointv3.LbEndpoint{HealthStatus: h, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
			Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
		}}},
	}}}
}

// placed is an assignment whose boxes have the priorities of their lists.
func placed(cluster string, h corev3.HealthStatus, byPriority ...[]*appbox.Server) *endpointv3.ClusterLoadAssignment {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for p, boxes := range byPriority {
		l := &endpointv3.LocalityLbEndpoints{Priority: uint32(p)}
		for _, b := range boxes {
			l.LbEndpoints = append(l.LbEndpoints, lbEndpoint(b.Addr(), h))
		}
		a.Endpoints = append(a.Endpoints, l)
	}
	return a
}

const healthy = corev3.HealthStatus_HEALTHY

func startPlane(t testing.TB) *controlplane.Plane {
	p, err := controlplane.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Down)
	return p
}

func set(t testing.TB, p *controlplane.Plane, named map[string]proto.Message) {
	t.Helper()
	if err := p.Set(named); err != nil {
		t.Fatal(err)
	}
}

// follow serves by a control plane; each delivery is told once the app took it.
func follow(t testing.TB, first *files.Snapshot, o Options, change func(*xds.Config), told func(*xds.Delivery)) (*serving, *testutil.Logs) {
	t.Helper()
	logs := testutil.NewLogs(t)
	if o.Log == nil {
		o.Log = logs.Logger()
	}
	s := serveWith(t, first, o)
	c := XDSConfig(first.Program, "x")
	c.Failover = ads.FailoverOptions{InitialBackoff: 5 * time.Millisecond, MaxBackoff: 50 * time.Millisecond, PreferredProbeInterval: time.Hour}
	if change != nil {
		change(c)
	}
	source := NewSource(s.app, first)
	client := xds.New(*c, o.Log)
	take := func(d *xds.Delivery) {
		source.Deliver(d)
		if told != nil {
			told(d)
		}
	}
	client.Restore(take)
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { client.Run(ctx, take) })
	s.leave = func() { stop(); run.Wait() }
	t.Cleanup(s.leave)
	return s, logs
}

// status waits until a path is answered by a status.
func (s *serving) becomes(path string, status int) {
	s.t.Helper()
	testutil.Until(s.t, fmt.Sprintf("%s to be answered by %d", path, status), func() bool {
		got, _, _ := s.get(path, "")
		return got == status
	})
}

// The life of a configuration: none reachable, all there, a route to a cluster that nobody
// defines, one bad resource among a hundred that was good before, a cluster removed with a
// request open, a control plane that dies, misbehaves and comes back with an older version.
func TestXDSLife(t *testing.T) {
	for _, variant := range bothVariants {
		t.Run(variant, func(t *testing.T) {
			a, b := testutil.StartAppServer(t, "a"), testutil.StartAppServer(t, "b")
			p := startPlane(t)
			p.Down()
			keep := filepath.Join(t.TempDir(), "kept")
			keepIn := func(c *xds.Config) { c.CacheFile = keep }
			s, logs := follow(t, xdsProgram(t, p.Addr(), variant, ""), Options{}, keepIn, nil)
			if status, header, _ := s.get("/x", ""); status != 503 || header.Get("Retry-After") == "" {
				t.Errorf("before any version: status %d, %v", status, header)
			}
			set(t, p, map[string]proto.Message{
				"ingress": ingressRoutes(t), "main": mainRoutes(toCluster("/lost/", "lost", "read"), toCluster("/c-99/", "c-99", "read"), toCluster("/pay/", "rooms", "pay"), toCluster("/", "rooms", "read")),
				"rooms": edsCluster("rooms"),
			})
			set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, []*appbox.Server{a})})
			if err := p.Up(); err != nil {
				t.Fatal(err)
			}
			s.becomes("/x", 200)

			if status, _, _ := s.get("/lost/x", ""); status != 503 {
				t.Errorf("an undefined cluster: status %d", status)
			}
			logs.Wait("request rejected, cluster not defined")
			lost := map[string]proto.Message{"lost": edsCluster("lost")}
			set(t, p, lost)
			set(t, p, map[string]proto.Message{"lost": placed("lost", healthy, []*appbox.Server{b})})
			s.becomes("/lost/x", 200) // it heals

			hundred := map[string]proto.Message{}
			for i := range 100 {
				hundred[fmt.Sprintf("c-%02d", i)] = edsCluster(fmt.Sprintf("c-%02d", i))
			}
			hundred["lost"] = &clusterv3.Cluster{Name: "lost", ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_LOGICAL_DNS}}
			set(t, p, hundred)
			logs.Wait("lost: type: LOGICAL_DNS is neither EDS nor STATIC")
			set(t, p, map[string]proto.Message{"c-99": placed("c-99", healthy, []*appbox.Server{b})})
			s.becomes("/c-99/x", 200) // the others were taken
			if status, _, _ := s.get("/lost/x", ""); status != 200 {
				t.Errorf("the last good form: status %d", status)
			}
			testutil.Until(t, "a NACK that names the fault", func() bool {
				return slices.ContainsFunc(p.Answers(), func(a controlplane.Answer) bool { return strings.Contains(a.Error, "LOGICAL_DNS") })
			})
			set(t, p, lost) // good again

			a.SetDelay(200 * time.Millisecond)
			open := make(chan int, 1)
			count := a.Count()
			go func() {
				status, _, _ := s.get("/pay/x", "open")
				open <- status
			}()
			testutil.Until(t, "the request to reach the box", func() bool { return a.Count() > count })
			p.Remove(message(t, edsCluster("rooms")).TypeUrl, "rooms")
			s.becomes("/x", 503)
			if status := testutil.Wait(t, open, "the open request"); status != 200 {
				t.Errorf("open while its cluster was removed: status %d", status)
			}
			a.SetDelay(0)
			set(t, p, map[string]proto.Message{"rooms": edsCluster("rooms")})
			s.becomes("/x", 200)

			// Each way to misbehave, with the stream broken after it as a restart would.
			for fault := controlplane.WrongNonce; fault <= controlplane.Garbage; fault++ {
				p.Misbehave(fault)
				to := []*appbox.Server{a, b}[int(fault)%2]
				set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, []*appbox.Server{to})})
				if status, _, _ := s.get("/x", ""); status != 200 {
					t.Errorf("fault %d: status %d", fault, status)
				}
				testutil.Until(t, "the fault to happen", func() bool { return p.Faults() == 0 })
				p.Break()
				testutil.Until(t, fmt.Sprintf("recovery from fault %d", fault), func() bool {
					_, _, body := s.get("/x", "")
					return strings.HasPrefix(body, to.Name+" ")
				})
			}

			// It dies; what it said stays, also for a program that starts meanwhile.
			p.Down()
			if status, _, _ := s.get("/x", ""); status != 200 {
				t.Errorf("with the control plane down: status %d", status)
			}
			s.leave()
			again, logs2 := follow(t, xdsProgram(t, p.Addr(), variant, ""), Options{}, keepIn, nil)
			again.becomes("/x", 200)
			logs2.Wait("starting from the cached control plane version")

			// Restored from a backup: the version is older, and it is what counts.
			url := message(t, placed("rooms", healthy)).TypeUrl
			p.Rewind(url, 1)
			set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, []*appbox.Server{b})})
			p.Rewind(url, 1)
			if err := p.Up(); err != nil {
				t.Fatal(err)
			}
			testutil.Until(t, "the older version to be in force", func() bool {
				_, _, body := again.get("/x", "")
				return strings.HasPrefix(body, "b ")
			})
		})
	}
}

// All of a priority unhealthy: the next one serves; all at all priorities: refused at once,
// with the time to come back.
func TestXDSFailover(t *testing.T) {
	a, b := testutil.StartAppServer(t, "a"), testutil.StartAppServer(t, "b")
	p := startPlane(t)
	set(t, p, map[string]proto.Message{"ingress": ingressRoutes(t), "main": mainRoutes(toCluster("/", "rooms", "read")), "rooms": edsCluster("rooms")})
	both := func(first, second corev3.HealthStatus) {
		x := placed("rooms", first, []*appbox.Server{a}, nil)
		x.Endpoints[1].LbEndpoints = placed("rooms", second, []*appbox.Server{b}).Endpoints[0].LbEndpoints
		set(t, p, map[string]proto.Message{"rooms": x})
	}
	both(healthy, healthy)
	s, _ := follow(t, xdsProgram(t, p.Addr(), "incremental", ""), Options{}, nil, nil)
	served := func(by string) {
		t.Helper()
		testutil.Until(t, "an answer by "+by, func() bool { _, _, body := s.get("/x", ""); return strings.HasPrefix(body, by+" ") })
	}
	served("a")
	both(corev3.HealthStatus_UNHEALTHY, healthy)
	served("b")
	count := a.Count()
	for range 20 {
		served("b")
	}
	if a.Count() != count {
		t.Error("sent to an unhealthy server")
	}
	both(corev3.HealthStatus_TIMEOUT, corev3.HealthStatus_DRAINING)
	testutil.Until(t, "a refusal at once", func() bool {
		status, header, _ := s.get("/x", "")
		return status == 503 && header.Get("Retry-After") != ""
	})
	both(healthy, healthy)
	served("a")
}

// spans has, for each server, the times in which a version in force had it.
type spans struct {
	mu      sync.Mutex
	list    map[string][]span
	inForce map[string]bool
}

type span struct{ from, to time.Time }

// taken notes a version: its servers may be used from before on, and those that it lacks
// count as told to be gone at told.
func (s *spans) taken(servers []string, before, told time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = map[string][]span{}
	}
	has := map[string]bool{}
	for _, id := range servers {
		if has[id] = true; !s.inForce[id] {
			s.list[id] = append(s.list[id], span{from: before})
		}
	}
	for id := range s.inForce {
		if !has[id] {
			s.list[id][len(s.list[id])-1].to = told
		}
	}
	s.inForce = has
}

// sends is a log of what went out, for Options.OnSend.
type sends struct {
	mu    sync.Mutex
	names map[uint64]string
	list  []sendOf
}

type sendOf struct {
	server string
	at     time.Time
}

func (s *sends) note(_ string, server uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, sendOf{s.names[server], at})
}

// strays counts the sends to servers that no version had at their time, or within grace
// before. A send counts from when it left: on a busy machine a box may see it much later.
func (s *sends) strays(v *spans, grace time.Duration) (n int) {
	for _, x := range s.list {
		if !slices.ContainsFunc(v.list[x.server], func(sp span) bool {
			return !x.at.Before(sp.from) && (sp.to.IsZero() || x.at.Before(sp.to.Add(grace)))
		}) {
			n++
		}
	}
	return n
}

// A thousand changes (200 without YOKESTALL_CHANGES) under steady traffic and through 50
// stream breaks, in both variants: each send is held against what was delivered at its
// time. The control plane takes endpoints away also while the stream is down.
func TestXDSStorm(t *testing.T) {
	changes := 200
	if v := os.Getenv("YOKESTALL_CHANGES"); v != "" {
		fmt.Sscan(v, &changes)
	}
	for _, variant := range bothVariants {
		t.Run(variant, func(t *testing.T) {
			t.Parallel()
			const boxes, grace = 6, 500 * time.Millisecond
			var all []*appbox.Server
			log := &sends{names: map[uint64]string{}}
			for i := range boxes {
				b := testutil.StartAppServer(t, fmt.Sprintf("box-%d", i))
				e := at(b)
				e.ID = e.Address
				log.names[e.Key()] = b.Addr()
				all = append(all, b)
			}
			p := startPlane(t)
			set(t, p, map[string]proto.Message{
				"ingress": ingressRoutes(t), "main": mainRoutes(toCluster("/pay/", "rooms", "pay"), toCluster("/", "rooms", "read")), "rooms": edsCluster("rooms"),
			})
			set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, all)})
			var inForce spans
			deliveries := 0
			s, _ := follow(t, xdsProgram(t, p.Addr(), variant, ""), Options{Seed: 1, Log: testutil.DiscardLogger, OnSend: log.note}, nil, func(d *xds.Delivery) {
				deliveries++
				if c := d.View.Clusters()["rooms"]; c != nil {
					var ids []string
					for i := range c.Endpoints {
						if c.Endpoints[i].Serves() {
							ids = append(ids, c.Endpoints[i].Address)
						}
					}
					inForce.taken(ids, d.ReceivedAt, d.ReceivedAt)
				}
			})
			s.becomes("/x", 200)
			ctx, stop := context.WithCancel(t.Context())
			var run sync.WaitGroup
			for i := range 6 {
				run.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						s.get([]string{"/x", "/pay/x"}[n%2], fmt.Sprintf("r-%d-%d", i, n))
					}
				})
			}
			rnd := rand.New(rand.NewPCG(1, 2))
			began := time.Now()
			for i := range changes {
				away := int(time.Since(began)/time.Second) % boxes // long enough for a stray to show
				members := append(slices.Clone(all[:away]), all[away+1:]...)
				rnd.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
				x := placed("rooms", healthy, members[:1+rnd.IntN(len(members))])
				if i%3 == 0 { // the same by a word on its health
					x.Endpoints[0].LbEndpoints = append(x.Endpoints[0].LbEndpoints, lbEndpoint(all[away].Addr(), corev3.HealthStatus_DRAINING))
				}
				if i%(changes/50) == 0 {
					p.Break()
				}
				set(t, p, map[string]proto.Message{"rooms": x})
				time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond) // the pace of changes
			}
			stop()
			run.Wait()
			opened, _ := p.Streams()
			if n := log.strays(&inForce, grace); n != 0 || len(log.list) == 0 || opened < 20 {
				t.Errorf("%d of %d sends went astray; %d streams", n, len(log.list), opened)
			}
			t.Logf("%d changes, %d deliveries, %d streams, %d sends", changes, deliveries, opened, len(log.list))
		})
	}
}

// BenchmarkXDS pushes one changed endpoint at a time, in clusters of 100, and tells how
// long it takes from delivery (the last byte read) to in force, at what part of a core for
// 100 changes a second, and how many bytes an endpoint holds.
func BenchmarkXDS(b *testing.B) {
	for _, variant := range bothVariants {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", variant, n), func(b *testing.B) {
				p := startPlane(b)
				var routes []*routev3.Route
				named := map[string]proto.Message{"ingress": ingressRoutes(b)}
				assigned := func(c int, weight uint32) *endpointv3.ClusterLoadAssignment {
					x := placed(fmt.Sprintf("c-%03d", c), healthy, nil)
					for i := range 100 {
						e := lbEndpoint(fmt.Sprintf("10.%d.%d.%d:80", c/250, c%250, i+1), healthy)
						e.LoadBalancingWeight = wrapperspb.UInt32(weight)
						x.Endpoints[0].LbEndpoints = append(x.Endpoints[0].LbEndpoints, e)
						weight = 1
					}
					return x
				}
				ends := map[string]proto.Message{}
				for c := range n / 100 {
					name := fmt.Sprintf("c-%03d", c)
					routes = append(routes, toCluster("/"+name, name, "read"))
					named[name], ends[name] = edsCluster(name), assigned(c, 1)
				}
				named["main"] = mainRoutes(routes...)
				set(b, p, named)
				set(b, p, ends)
				heap := func() float64 {
					runtime.GC()
					runtime.GC()
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					return float64(m.HeapAlloc)
				}
				before := heap()
				took := make(chan time.Duration, 1000)
				ready := make(chan struct{})
				var once sync.Once
				options := Options{Seed: 1, Log: testutil.DiscardLogger}
				follow(b, xdsProgram(b, p.Addr(), variant, ""), options, nil, func(d *xds.Delivery) {
					if d.Full {
						if len(d.View.Clusters()) == n/100 {
							once.Do(func() { close(ready) })
						}
						return
					}
					select {
					case took <- time.Since(d.ReceivedAt):
					default:
					}
				})
				testutil.Wait(b, ready, "all clusters")
				held := (heap() - before) / float64(n)
				for len(took) > 0 {
					<-took
				}
				var times []time.Duration
				sum := time.Duration(0)
				for i := 0; b.Loop(); i++ {
					set(b, p, map[string]proto.Message{fmt.Sprintf("c-%03d", i%(n/100)): assigned(i%(n/100), uint32(2+i%1000))})
					d := testutil.Wait(b, took, "a delivery")
					times = append(times, d)
					sum += d
				}
				slices.Sort(times)
				us := func(part float64) float64 {
					return float64(times[int(part*float64(len(times)-1))].Nanoseconds()) / 1000
				}
				b.ReportMetric(us(0.5), "p50-us")
				b.ReportMetric(us(0.99), "p99-us")
				b.ReportMetric(100*sum.Seconds()/float64(len(times))*100, "%core@100/s")
				b.ReportMetric(held, "B/endpoint")
			})
		}
	}
}
