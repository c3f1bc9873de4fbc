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
	// sideServers is how many servers are behind both proxies of BenchmarkSides.
	sideServers = 2
	// sideRuns is how often each of them has the load, in turns, whatever b.N. The median is reported.
	sideRuns = 5
)

// BenchmarkSides compares the program with the reverse proxy, in turns within one run, over each HTTP version with and
// without TLS. Its figures are ratios of the program's to the reverse proxy's: above 1 is better for the rate, below 1
// for the 99th percentile.
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

// benchmarkSides compares the two proxies under a load.
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
