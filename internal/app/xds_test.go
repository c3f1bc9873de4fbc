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

// xdsRun is a program that follows a control plane, with the boxes of its clusters.
type xdsRun struct {
	*serving
	t            *testing.T
	variant      string
	controlPlane *controlplane.Server
	a, b         *appbox.Server // of the cluster rooms, and of others
	cacheFile    string
	logs         *testutil.Logs
}

// start starts the program with the cache file of the run.
func (r *xdsRun) start() {
	useCache := func(c *xds.Config) { c.CacheFile = r.cacheFile }
	r.serving, r.logs = follow(r.t, xdsProgram(r.t, r.controlPlane.Addr(), r.variant, ""), Options{}, useCache, nil)
}

// set changes resources of the control plane.
func (r *xdsRun) set(named map[string]proto.Message) {
	r.t.Helper()
	set(r.t, r.controlPlane, named)
}

// assign has a cluster's only endpoint be a box.
func (r *xdsRun) assign(cluster string, b *appbox.Server) {
	r.t.Helper()
	r.set(map[string]proto.Message{cluster: loadAssignment(cluster, healthy, []*appbox.Server{b})})
}

// wantStatus checks the status of one request.
func (r *xdsRun) wantStatus(path string, want int, when string) {
	r.t.Helper()
	if status, _, _ := r.get(path, ""); status != want {
		r.t.Errorf("%s: status %d", when, status)
	}
}

// servedBy waits until a box answers.
func (r *xdsRun) servedBy(b *appbox.Server, what string) {
	r.t.Helper()
	testutil.Until(r.t, what, func() bool {
		_, _, body := r.get("/x", "")
		return strings.HasPrefix(body, b.Name+" ")
	})
}

// A configuration from its first version on: no control plane reachable, all there, a route to a cluster that nobody
// defines, one bad resource among a hundred that was good before, a cluster removed with a request open, a control
// plane that dies, misbehaves and comes back with an older version.
func TestXDSRecovery(t *testing.T) {
	for _, variant := range bothVariants {
		t.Run(variant, func(t *testing.T) {
			r := &xdsRun{
				t:            t,
				variant:      variant,
				a:            testutil.StartAppServer(t, "a"),
				b:            testutil.StartAppServer(t, "b"),
				controlPlane: startControlPlane(t),
				cacheFile:    filepath.Join(t.TempDir(), "kept"),
			}
			r.checkStart()
			r.checkUndefinedCluster()
			r.checkRejectedResource()
			r.checkRemovalWhileOpen()
			r.checkMisbehaviour()
			r.checkRestartFromCache()
			r.checkOlderVersion()
		})
	}
}

// checkStart starts without a control plane, which then comes.
func (r *xdsRun) checkStart() {
	r.controlPlane.Down()
	r.start()
	if status, header, _ := r.get("/x", ""); status != 503 || header.Get("Retry-After") == "" {
		r.t.Errorf("before any version: status %d, %v", status, header)
	}
	r.set(map[string]proto.Message{
		"ingress": ingressRoutes(r.t),
		"main": mainRoutes(
			toCluster("/lost/", "lost", "read"), toCluster("/c-99/", "c-99", "read"),
			toCluster("/pay/", "rooms", "pay"), toCluster("/", "rooms", "read"),
		),
		"rooms": edsCluster("rooms"),
	})
	r.assign("rooms", r.a)
	if err := r.controlPlane.Up(); err != nil {
		r.t.Fatal(err)
	}
	r.becomes("/x", 200)
}

// checkUndefinedCluster has a route to a cluster that is defined later.
func (r *xdsRun) checkUndefinedCluster() {
	r.wantStatus("/lost/x", 503, "an undefined cluster")
	r.logs.Wait("request rejected, cluster not defined")
	r.set(map[string]proto.Message{"lost": edsCluster("lost")})
	r.assign("lost", r.b)
	r.becomes("/lost/x", 200)
}

// checkRejectedResource sends a hundred good clusters and one that is rejected, which was good before.
func (r *xdsRun) checkRejectedResource() {
	hundred := map[string]proto.Message{}
	for i := range 100 {
		hundred[fmt.Sprintf("c-%02d", i)] = edsCluster(fmt.Sprintf("c-%02d", i))
	}
	hundred["lost"] = &clusterv3.Cluster{
		Name:                 "lost",
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_LOGICAL_DNS},
	}
	r.set(hundred)
	r.logs.Wait("lost: type: LOGICAL_DNS is neither EDS nor STATIC")
	r.assign("c-99", r.b)
	r.becomes("/c-99/x", 200) // the others were accepted
	r.wantStatus("/lost/x", 200, "the last good form")
	testutil.Until(r.t, "a NACK that names the fault", func() bool {
		return slices.ContainsFunc(r.controlPlane.Acks(), func(a controlplane.Ack) bool {
			return strings.Contains(a.Error, "LOGICAL_DNS")
		})
	})
	r.set(map[string]proto.Message{"lost": edsCluster("lost")}) // good again
}

// checkRemovalWhileOpen removes a cluster with a request open, and defines it again.
func (r *xdsRun) checkRemovalWhileOpen() {
	r.a.SetDelay(200 * time.Millisecond)
	open := make(chan int, 1)
	count := r.a.Count()
	go func() {
		status, _, _ := r.get("/pay/x", "open")
		open <- status
	}()
	testutil.Until(r.t, "the request to reach the box", func() bool { return r.a.Count() > count })
	r.controlPlane.RemoveResources(message(r.t, edsCluster("rooms")).TypeUrl, "rooms")
	r.becomes("/x", 503)
	if status := testutil.Wait(r.t, open, "the open request"); status != 200 {
		r.t.Errorf("open while its cluster was removed: status %d", status)
	}
	r.a.SetDelay(0)
	r.set(map[string]proto.Message{"rooms": edsCluster("rooms")})
	r.becomes("/x", 200)
}

// checkMisbehaviour has the control plane misbehave in each way. The stream is broken after it as by a restart.
func (r *xdsRun) checkMisbehaviour() {
	for fault := controlplane.WrongNonce; fault <= controlplane.InvalidBodies; fault++ {
		r.controlPlane.QueueFaults(fault)
		to := []*appbox.Server{r.a, r.b}[int(fault)%2]
		r.assign("rooms", to)
		r.wantStatus("/x", 200, fmt.Sprintf("fault %d", fault))
		testutil.Until(r.t, "the fault to happen", func() bool { return r.controlPlane.PendingFaults() == 0 })
		r.controlPlane.BreakStreams()
		r.servedBy(to, fmt.Sprintf("recovery from fault %d", fault))
	}
}

// checkRestartFromCache ends the control plane: its last version stays, also for a program that starts meanwhile.
func (r *xdsRun) checkRestartFromCache() {
	r.controlPlane.Down()
	r.wantStatus("/x", 200, "with the control plane down")
	r.leave()
	r.start()
	r.becomes("/x", 200)
	r.logs.Wait("starting from the cached control plane version")
}

// checkOlderVersion restores the control plane from a backup: its version is older, and it applies.
func (r *xdsRun) checkOlderVersion() {
	url := message(r.t, loadAssignment("rooms", healthy)).TypeUrl
	r.controlPlane.SetVersion(url, 1)
	r.assign("rooms", r.b)
	r.controlPlane.SetVersion(url, 1)
	if err := r.controlPlane.Up(); err != nil {
		r.t.Fatal(err)
	}
	r.servedBy(r.b, "the older version to be in force")
}

// All endpoints of a priority are unhealthy: the next one serves; those of all priorities are: requests are rejected at
// once, with Retry-After.
func TestXDSFailover(t *testing.T) {
	a, b := testutil.StartAppServer(t, "a"), testutil.StartAppServer(t, "b")
	p := startControlPlane(t)
	set(t, p, map[string]proto.Message{
		"ingress": ingressRoutes(t),
		"main":    mainRoutes(toCluster("/", "rooms", "read")),
		"rooms":   edsCluster("rooms"),
	})
	both := func(first, second corev3.HealthStatus) {
		x := loadAssignment("rooms", first, []*appbox.Server{a}, nil)
		x.Endpoints[1].LbEndpoints = loadAssignment("rooms", second, []*appbox.Server{b}).Endpoints[0].LbEndpoints
		set(t, p, map[string]proto.Message{"rooms": x})
	}
	both(healthy, healthy)
	s, _ := follow(t, xdsProgram(t, p.Addr(), "incremental", ""), Options{}, nil, nil)
	served := func(by string) {
		t.Helper()
		testutil.Until(t, "an answer by "+by, func() bool {
			_, _, body := s.get("/x", "")
			return strings.HasPrefix(body, by+" ")
		})
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
	testutil.Until(t, "a rejection at once", func() bool {
		status, header, _ := s.get("/x", "")
		return status == 503 && header.Get("Retry-After") != ""
	})
	both(healthy, healthy)
	served("a")
}
