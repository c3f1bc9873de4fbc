package app

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/controlplane"
	"yokestall/internal/testutil"
	"yokestall/internal/xds"
)

// The life of a configuration: none reachable, all there, a route to a cluster that nobody
// defines, one bad resource among a hundred that was good before, a cluster removed with a
// request open, a control plane that dies, misbehaves and comes back with an older version.
func TestXDSLife(t *testing.T) {
	for _, variant := range bothVariants {
		t.Run(variant, func(t *testing.T) {
			a, b := testutil.Box(t, "a"), testutil.Box(t, "b")
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
			set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, []*appbox.Box{a})})
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
			set(t, p, map[string]proto.Message{"lost": placed("lost", healthy, []*appbox.Box{b})})
			s.becomes("/lost/x", 200) // it heals

			hundred := map[string]proto.Message{}
			for i := range 100 {
				hundred[fmt.Sprintf("c-%02d", i)] = edsCluster(fmt.Sprintf("c-%02d", i))
			}
			hundred["lost"] = &clusterv3.Cluster{Name: "lost", ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_LOGICAL_DNS}}
			set(t, p, hundred)
			logs.Wait("lost: type: LOGICAL_DNS is neither EDS nor STATIC")
			set(t, p, map[string]proto.Message{"c-99": placed("c-99", healthy, []*appbox.Box{b})})
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
				to := []*appbox.Box{a, b}[int(fault)%2]
				set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, []*appbox.Box{to})})
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
			set(t, p, map[string]proto.Message{"rooms": placed("rooms", healthy, []*appbox.Box{b})})
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
	a, b := testutil.Box(t, "a"), testutil.Box(t, "b")
	p := startPlane(t)
	set(t, p, map[string]proto.Message{"ingress": ingressRoutes(t), "main": mainRoutes(toCluster("/", "rooms", "read")), "rooms": edsCluster("rooms")})
	both := func(first, second corev3.HealthStatus) {
		x := placed("rooms", first, []*appbox.Box{a}, nil)
		x.Endpoints[1].LbEndpoints = placed("rooms", second, []*appbox.Box{b}).Endpoints[0].LbEndpoints
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
