package app

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fake/controlplane"
	"yokestall/internal/testutil"
	"yokestall/internal/xds"
)

// benchClusterSize is the number of endpoints of each cluster of BenchmarkXDS.
const benchClusterSize = 100

// BenchmarkXDS changes one endpoint at a time, in clusters of 100 endpoints. It reports quantiles of the time from the
// delivery of a change (its last byte is read) until the change is in force, the share of a core that 100 changes per
// second take, and the memory in bytes per endpoint.
func BenchmarkXDS(b *testing.B) {
	for _, variant := range bothVariants {
		for _, n := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", variant, n), func(b *testing.B) { benchmarkXDS(b, variant, n) })
		}
	}
}

func benchmarkXDS(b *testing.B, variant string, endpoints int) {
	clusters := endpoints / benchClusterSize
	p := startControlPlane(b)
	setBenchClusters(b, p, clusters)
	before := heapBytes()
	updates := make(chan time.Duration, 1000) // times from delivery until the change is in force
	ready := make(chan struct{})
	var once sync.Once
	applied := func(d *xds.Delivery) {
		if d.Full {
			if len(d.View.Clusters()) == clusters {
				once.Do(func() { close(ready) })
			}
			return
		}
		select {
		case updates <- time.Since(d.ReceivedAt):
		default:
		}
	}
	serveWithControlPlane(b, xdsProgram(b, p.Addr(), variant, ""), Options{Seed: 1, Log: testutil.DiscardLogger}, nil, applied)
	testutil.Wait(b, ready, "all clusters")
	perEndpoint := (heapBytes() - before) / float64(endpoints)
	for len(updates) > 0 {
		<-updates
	}
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		c := i % clusters
		setResources(b, p, map[string]proto.Message{benchClusterName(c): benchAssignment(c, uint32(2+i%1000))})
		times = append(times, testutil.Wait(b, updates, "a delivery"))
	}
	reportTimes(b, times)
	b.ReportMetric(perEndpoint, "B/endpoint")
}

// setBenchClusters sets clusters with endpoints, and a route to each cluster, at the control plane.
func setBenchClusters(b *testing.B, p *controlplane.Server, clusters int) {
	b.Helper()
	var routes []*routev3.Route
	resources := map[string]proto.Message{"ingress": ingressRoutes(b)}
	assignments := map[string]proto.Message{}
	for c := range clusters {
		name := benchClusterName(c)
		routes = append(routes, routeToCluster("/"+name, name, "read"))
		resources[name], assignments[name] = edsCluster(name), benchAssignment(c, 1)
	}
	resources["main"] = mainRoutes(routes...)
	setResources(b, p, resources)
	setResources(b, p, assignments)
}

func benchClusterName(c int) string { return fmt.Sprintf("c-%03d", c) }

// benchAssignment returns the assignment of a cluster's endpoints. The first endpoint has the weight firstWeight, the
// others have the weight 1.
func benchAssignment(c int, firstWeight uint32) *endpointv3.ClusterLoadAssignment {
	a := loadAssignment(benchClusterName(c), healthy, nil)
	weight := firstWeight
	for i := range benchClusterSize {
		e := lbEndpoint(fmt.Sprintf("10.%d.%d.%d:80", c/250, c%250, i+1), healthy)
		e.LoadBalancingWeight = wrapperspb.UInt32(weight)
		a.Endpoints[0].LbEndpoints = append(a.Endpoints[0].LbEndpoints, e)
		weight = 1
	}
	return a
}

// heapBytes returns the size of the live heap in bytes, after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// reportTimes reports the 50th and 99th percentile of times, and the share of a core that 100 changes per second take at
// their mean.
func reportTimes(b *testing.B, times []time.Duration) {
	sum := time.Duration(0)
	for _, d := range times {
		sum += d
	}
	slices.Sort(times)
	microseconds := func(quantile float64) float64 {
		return float64(times[int(quantile*float64(len(times)-1))].Nanoseconds()) / 1000
	}
	b.ReportMetric(microseconds(0.5), "p50-us")
	b.ReportMetric(microseconds(0.99), "p99-us")
	b.ReportMetric(100*sum.Seconds()/float64(len(times))*100, "%core@100/s")
}
