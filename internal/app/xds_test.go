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

// xdsRun is a testApp that follows a control plane, with the boxes of its clusters.
type xdsRun struct {
	*testApp
	t            *testing.T
	variant      string
	controlPlane *controlplane.Server
	a, b         *appbox.Server // the boxes of the clusters
	cacheFile    string
	logs         *testutil.Logs
}

// start starts an App and its xDS client with the cache file of the run.
func (r *xdsRun) start() {
	useCache := func(c *xds.Config) { c.CacheFile = r.cacheFile }
	first := xdsProgram(r.t, r.controlPlane.Addr(), r.variant, "")
	r.testApp, r.logs = serveWithControlPlane(r.t, first, Options{}, useCache, nil)
}

// setResources changes resources of the control plane.
func (r *xdsRun) setResources(named map[string]proto.Message) {
	r.t.Helper()
	setResources(r.t, r.controlPlane, named)
}

// assign makes a box the only endpoint of a cluster.
func (r *xdsRun) assign(cluster string, b *appbox.Server) {
	r.t.Helper()
	r.setResources(map[string]proto.Message{cluster: loadAssignment(cluster, healthy, []*appbox.Server{b})})
}

// wantStatus sends one request and checks the status of its answer. when describes the situation.
func (r *xdsRun) wantStatus(path string, want int, when string) {
	r.t.Helper()
	if status, _, _ := r.get(path, ""); status != want {
		r.t.Errorf("%s: status %d, want %d", when, status, want)
	}
}

// waitForServer sends requests until a box answers one of them.
func (r *xdsRun) waitForServer(b *appbox.Server, what string) {
	r.t.Helper()
	testutil.Until(r.t, what, func() bool {
		_, _, body := r.get("/x", "")
		return strings.HasPrefix(body, b.Name+" ")
	})
}

// An App follows a control plane through a sequence of faults: no control plane at the start, a route to an undefined
// cluster, an invalid update of one cluster among a hundred, removal of a cluster with a request in flight, protocol
// errors of the control plane, a control plane that is down, and one that returns with an older version.
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

// checkStart starts the App without a control plane. Requests are rejected until the control plane is up.
func (r *xdsRun) checkStart() {
	r.controlPlane.Down()
	r.start()
	if status, header, _ := r.get("/x", ""); status != 503 || header.Get("Retry-After") == "" {
		r.t.Errorf("before the first version: status %d, header %v; want 503 with Retry-After", status, header)
	}
	r.setResources(map[string]proto.Message{
		"ingress": ingressRoutes(r.t),
		"main": mainRoutes(
			routeToCluster("/lost/", "lost", "read"), routeToCluster("/c-99/", "c-99", "read"),
			routeToCluster("/pay/", "rooms", "pay"), routeToCluster("/", "rooms", "read"),
		),
		"rooms": edsCluster("rooms"),
	})
	r.assign("rooms", r.a)
	if err := r.controlPlane.Up(); err != nil {
		r.t.Fatal(err)
	}
	r.waitForStatus("/x", 200)
}

// checkUndefinedCluster checks that requests to an undefined cluster are rejected until the cluster is defined.
func (r *xdsRun) checkUndefinedCluster() {
	r.wantStatus("/lost/x", 503, "with an undefined cluster")
	r.logs.Wait("request rejected, cluster not defined")
	r.setResources(map[string]proto.Message{"lost": edsCluster("lost")})
	r.assign("lost", r.b)
	r.waitForStatus("/lost/x", 200)
}

// checkRejectedResource delivers a hundred valid clusters and an invalid update of another cluster. The valid clusters must
// be accepted, the other cluster must keep its last valid form, and the NACK must name the fault.
func (r *xdsRun) checkRejectedResource() {
	hundred := map[string]proto.Message{}
	for i := range 100 {
		hundred[fmt.Sprintf("c-%02d", i)] = edsCluster(fmt.Sprintf("c-%02d", i))
	}
	hundred["lost"] = &clusterv3.Cluster{
		Name:                 "lost",
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_LOGICAL_DNS},
	}
	r.setResources(hundred)
	r.logs.Wait("lost: type: LOGICAL_DNS is neither EDS nor STATIC")
	r.assign("c-99", r.b)
	r.waitForStatus("/c-99/x", 200) // the valid clusters were accepted
	r.wantStatus("/lost/x", 200, "with the last valid form of the cluster")
	testutil.Until(r.t, "a NACK that names the fault", func() bool {
		return slices.ContainsFunc(r.controlPlane.Acks(), func(a controlplane.Ack) bool {
			return strings.Contains(a.Error, "LOGICAL_DNS")
		})
	})
	r.setResources(map[string]proto.Message{"lost": edsCluster("lost")}) // valid again
}

// checkRemovalWhileOpen removes a cluster with a request in flight, which must be served, and defines the cluster again.
func (r *xdsRun) checkRemovalWhileOpen() {
	r.a.SetDelay(200 * time.Millisecond)
	open := make(chan int, 1)
	count := r.a.Count()
	go func() {
		status, _, _ := r.get("/pay/x", "open")
		open <- status
	}()
	testutil.Until(r.t, "the request to reach the box", func() bool { return r.a.Count() > count })
	r.controlPlane.RemoveResources(packAny(r.t, edsCluster("rooms")).TypeUrl, "rooms")
	r.waitForStatus("/x", 503)
	if status := testutil.Wait(r.t, open, "the answer to the request in flight"); status != 200 {
		r.t.Errorf("request in flight while its cluster was removed: status %d, want 200", status)
	}
	r.a.SetDelay(0)
	r.setResources(map[string]proto.Message{"rooms": edsCluster("rooms")})
	r.waitForStatus("/x", 200)
}

// checkMisbehaviour makes the control plane commit each fault. The last version must stay in force meanwhile, and the App
// must recover once the xDS stream is broken, as by a restart of the control plane.
func (r *xdsRun) checkMisbehaviour() {
	for fault := controlplane.WrongNonce; fault <= controlplane.InvalidBodies; fault++ {
		r.controlPlane.QueueFaults(fault)
		to := []*appbox.Server{r.a, r.b}[int(fault)%2]
		r.assign("rooms", to)
		r.wantStatus("/x", 200, fmt.Sprintf("fault %d", fault))
		testutil.Until(r.t, "the fault to happen", func() bool { return r.controlPlane.PendingFaults() == 0 })
		r.controlPlane.BreakStreams()
		r.waitForServer(to, fmt.Sprintf("recovery from fault %d", fault))
	}
}

// checkRestartFromCache stops the control plane. Its last version must stay in force, also in an App that starts while the
// control plane is down.
func (r *xdsRun) checkRestartFromCache() {
	r.controlPlane.Down()
	r.wantStatus("/x", 200, "with the control plane down")
	r.stopXDS()
	r.start()
	r.waitForStatus("/x", 200)
	r.logs.Wait("starting from the cached control plane version")
}

// checkOlderVersion restarts the control plane with an older version, as after a restore from a backup. That version must
// be put in force.
func (r *xdsRun) checkOlderVersion() {
	url := packAny(r.t, loadAssignment("rooms", healthy)).TypeUrl
	r.controlPlane.SetVersion(url, 1)
	r.assign("rooms", r.b)
	r.controlPlane.SetVersion(url, 1)
	if err := r.controlPlane.Up(); err != nil {
		r.t.Fatal(err)
	}
	r.waitForServer(r.b, "the older version to be in force")
}

// If all endpoints of a priority are unhealthy, requests go to the next priority. If no priority has a usable endpoint,
// requests are rejected at once with Retry-After.
func TestXDSFailover(t *testing.T) {
	a, b := testutil.StartAppServer(t, "a"), testutil.StartAppServer(t, "b")
	p := startControlPlane(t)
	setResources(t, p, map[string]proto.Message{
		"ingress": ingressRoutes(t),
		"main":    mainRoutes(routeToCluster("/", "rooms", "read")),
		"rooms":   edsCluster("rooms"),
	})
	both := func(first, second corev3.HealthStatus) {
		x := loadAssignment("rooms", first, []*appbox.Server{a}, nil)
		x.Endpoints[1].LbEndpoints = loadAssignment("rooms", second, []*appbox.Server{b}).Endpoints[0].LbEndpoints
		setResources(t, p, map[string]proto.Message{"rooms": x})
	}
	both(healthy, healthy)
	s, _ := serveWithControlPlane(t, xdsProgram(t, p.Addr(), "incremental", ""), Options{}, nil, nil)
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
		t.Errorf("%d requests were sent to an unhealthy server, want none", a.Count()-count)
	}
	both(corev3.HealthStatus_TIMEOUT, corev3.HealthStatus_DRAINING)
	testutil.Until(t, "a rejection at once", func() bool {
		status, header, _ := s.get("/x", "")
		return status == 503 && header.Get("Retry-After") != ""
	})
	both(healthy, healthy)
	served("a")
}
