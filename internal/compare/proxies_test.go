// Package compare has benchmarks that compare the HTTP listener of the load balancer with other proxies, with the same
// servers and the same load.
//
//   - proxies_test.go: benchmark of the load balancer, httputil.ReverseProxy and a TCP relay, with cheap clients and servers
//   - rawserver_test.go, rawclient_test.go, relay_test.go: the cheap servers and clients, and the TCP relay
//   - sides_test.go: benchmark of the load balancer and the reverse proxy over each HTTP version, with and without TLS
//   - setup_test.go: start of servers and proxies; load_test.go: the load for sides_test.go
package compare

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// rawServers is the number of servers behind each proxy in BenchmarkProxies.
const rawServers = 4

// warmUpRequests is the mean number of requests that each connection sends before the measurement, so that connections are
// open and the load balancer has its latency estimates.
const warmUpRequests = 20

// proxies are the compared proxies. The function start starts a proxy in front of servers and returns its address.
var proxies = []struct {
	name  string
	start func(tb testing.TB, addrs []string) string
}{
	{"front", (&setup{}).startProgram},
	{"reverseproxy", (&setup{}).startReverseProxy},
	{"relay", startRelay},
}

// BenchmarkProxies reports the requests per second and the median and 99th percentile of the latency, by proxy and number
// of connections. Clients, proxy and servers share the CPU cores, so only figures of the same run can be compared.
func BenchmarkProxies(b *testing.B) {
	for _, conns := range []int{1, 16, 128} {
		for _, proxy := range proxies {
			b.Run(fmt.Sprintf("conns=%d/%s", conns, proxy.name), func(b *testing.B) {
				var addrs []string
				for range rawServers {
					addrs = append(addrs, startRawServer(b))
				}
				benchmarkProxy(b, proxy.start(b, addrs), conns)
			})
		}
	}
}

// benchmarkProxy measures the proxy at an address with the given number of connections.
func benchmarkProxy(b *testing.B, addr string, conns int) {
	var clients []*rawClient
	for range conns {
		c := dialRaw(b, addr)
		defer c.Close()
		clients = append(clients, c)
	}
	sendAll(b, clients, addr, int64(warmUpRequests*conns))
	b.ReportAllocs()
	b.ResetTimer()
	times, failed := sendAll(b, clients, addr, int64(b.N))
	b.StopTimer()
	if failed > 0 {
		b.Logf("%d of %d requests failed", failed, b.N)
	}
	slices.Sort(times)
	quantileUs := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Nanoseconds()) / 1000
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(quantileUs(0.5), "p50-us")
	b.ReportMetric(quantileUs(0.99), "p99-us")
}

// sendAll sends n requests over the connections of the clients. It returns the latencies and the number of failed requests.
// A client opens a new connection after a failure.
func sendAll(tb testing.TB, clients []*rawClient, addr string, n int64) (times []time.Duration, failed int) {
	var remaining atomic.Int64
	remaining.Store(n)
	var mu sync.Mutex // guards times and failed
	var running sync.WaitGroup
	for _, c := range clients {
		running.Go(func() {
			var ownTimes []time.Duration
			ownFailed := 0
			for remaining.Add(-1) >= 0 {
				began := time.Now()
				if err := c.send(); err != nil {
					ownFailed++
					c.Close()
					*c = *dialRaw(tb, addr)
				}
				ownTimes = append(ownTimes, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			times, failed = append(times, ownTimes...), failed+ownFailed
		})
	}
	running.Wait()
	return times, failed
}

// All proxies must forward the requests of the benchmark and return the answers of the servers.
func TestSameAnswers(t *testing.T) {
	addrs := []string{startRawServer(t), startRawServer(t)}
	for _, proxy := range proxies {
		c := dialRaw(t, proxy.start(t, addrs))
		for range 20 {
			if err := c.send(); err != nil {
				t.Errorf("request through proxy %s failed: %v", proxy.name, err)
				break
			}
		}
		c.Close()
	}
}
