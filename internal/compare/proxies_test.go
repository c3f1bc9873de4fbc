// Package compare has the benchmarks that compare the program's HTTP listener with other proxies, on the same servers
// and the same load.
//
//   - proxies_test.go: the program, net/http's reverse proxy and a TCP relay, with clients and servers that cost little
//   - rawserver_test.go, rawclient_test.go, relay_test.go: those servers and clients, and the relay
//   - sides_test.go: the program and the reverse proxy over each HTTP version, with and without TLS
//   - setup_test.go: their start in one configuration; load_test.go: the load on them
package compare

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// rawServers is how many servers are behind each proxy of BenchmarkProxies.
const rawServers = 4

// warmUpRequests is how many requests each connection sends before the measurement, so that connections are open and
// the program has its estimates.
const warmUpRequests = 20

// proxies are the proxies that are compared. start returns the address of one in front of servers.
var proxies = []struct {
	name  string
	start func(tb testing.TB, addrs []string) string
}{
	{"front", (&setup{}).startProgram},
	{"reverseproxy", (&setup{}).startReverseProxy},
	{"relay", startRelay},
}

// BenchmarkProxies reports requests a second, and the median and the 99th percentile of their times, by connections.
// Load, proxy and servers share the cores: compare figures within one run only.
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

// benchmarkProxy measures the proxy at an address over so many connections.
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
		b.Logf("%d of %d failed", failed, b.N)
	}
	slices.Sort(times)
	quantileUs := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Nanoseconds()) / 1000
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(quantileUs(0.5), "p50-us")
	b.ReportMetric(quantileUs(0.99), "p99-us")
}

// sendAll sends n requests over the clients' connections, and returns their times and how many failed. After a failure
// the client has a new connection.
func sendAll(tb testing.TB, clients []*rawClient, addr string, n int64) (times []time.Duration, failed int) {
	var remaining atomic.Int64
	remaining.Store(n)
	var mu sync.Mutex // guards the results
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

// All proxies carry the same requests to the same answers.
func TestSameAnswers(t *testing.T) {
	addrs := []string{startRawServer(t), startRawServer(t)}
	for _, proxy := range proxies {
		c := dialRaw(t, proxy.start(t, addrs))
		for range 20 {
			if err := c.send(); err != nil {
				t.Errorf("%s: %v", proxy.name, err)
				break
			}
		}
		c.Close()
	}
}
