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

	"yokestall/internal/testutil"
	"yokestall/internal/xds"
)

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
				follow(b, xdsProgram(b, p.Addr(), variant, ""), Options{Seed: 1, Log: testutil.Quiet}, nil, func(d *xds.Delivery) {
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
