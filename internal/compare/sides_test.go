package compare

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

const (
	// sideServers is the number of servers behind both proxies in BenchmarkSides.
	sideServers = 2
	// sideRuns is the number of times that the load is sent to each proxy, in turn. It does not depend on b.N.
	sideRuns = 5
)

// BenchmarkSides compares the load balancer with the reverse proxy over each HTTP version, with and without TLS. Both get
// the load in turn within one run. The reported metrics are the medians, and for the rate also the extremes, of the ratios
// of the load balancer to the reverse proxy. A ratio above 1 is better for the rate, and below 1 for the 99th percentile.
func BenchmarkSides(b *testing.B) {
	authority, err := keymaker.New("test")
	if err != nil {
		b.Fatal(err)
	}
	folder := b.TempDir()
	if err := authority.Write(folder, "side", tlsServerName); err != nil {
		b.Fatal(err)
	}
	keys, err := tlskeys.Open(folder, "", testutil.DiscardLogger)
	if err != nil {
		b.Fatal(err)
	}
	loads := []load{
		{size: 256, clients: 64, requests: 4000},
		{size: 1 << 20, clients: 16, requests: 200},
		{size: 100 << 20, clients: 4, requests: 8},
	}
	for _, wire := range webpeer.AllProtocols() {
		for _, l := range loads {
			b.Run(fmt.Sprintf("%v/%dB", wire, l.size), func(b *testing.B) {
				benchmarkSides(b, &setup{wire, keys, authority}, l)
			})
		}
	}
}

// benchmarkSides compares the load balancer and the reverse proxy under a load.
func benchmarkSides(b *testing.B, s *setup, l load) {
	var addrs []string
	for range sideServers {
		addrs = append(addrs, s.startServer(b, http.HandlerFunc(serveSize)))
	}
	program, reverseProxy := s.startProgram(b, addrs), s.startReverseProxy(b, addrs)
	warmUp := l
	warmUp.requests /= 4
	warmUp.run(b, s, program)
	warmUp.run(b, s, reverseProxy)
	var rateRatios, tailRatios []float64
	for range sideRuns {
		programRate, programP99 := l.run(b, s, program)
		proxyRate, proxyP99 := l.run(b, s, reverseProxy)
		rateRatios = append(rateRatios, programRate/proxyRate)
		tailRatios = append(tailRatios, float64(programP99)/float64(proxyP99))
	}
	slices.Sort(rateRatios)
	slices.Sort(tailRatios)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(rateRatios[sideRuns/2], "rate-ratio")
	b.ReportMetric(tailRatios[sideRuns/2], "p99-ratio")
	b.ReportMetric(rateRatios[0], "rate-least")
	b.ReportMetric(rateRatios[sideRuns-1], "rate-most")
}
