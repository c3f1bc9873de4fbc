package compare

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/keymaker"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

// sides is how both sides speak in one comparison, and with which keys; the zero value speaks
// HTTP/1.1 in clear.
type sides struct {
	webpeer.Wire
	keys      *tlskeys.Store
	authority *keymaker.Authority
}

// serve starts an HTTP server that speaks as the sides do.
func (s *sides) serve(tb testing.TB, h http.Handler) (addr string) {
	l := testutil.Listen(tb)
	srv := &http.Server{Handler: h, Protocols: s.Protocols(), HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 250}}
	if s.TLS {
		srv.TLSConfig = s.keys.ServerConfig(tlskeys.ClientAuth{}, s.ALPN())
		go srv.ServeTLS(l, "", "")
	} else {
		go srv.Serve(l)
	}
	tb.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

func (s *sides) transport() *http.Transport {
	t := &http.Transport{
		Protocols: s.Protocols(), MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, DisableCompression: true,
		WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
	}
	if s.TLS {
		t.TLSClientConfig = &tls.Config{RootCAs: s.authority.Pool(), ServerName: "side.test"}
	}
	return t
}

func (s *sides) scheme() string {
	if s.TLS {
		return "https"
	}
	return "http"
}

// ours and theirs give the address of a proxy.
func (s *sides) ours(tb testing.TB, addrs []string) string {
	p, err := config.ParseProgram("compare.toml", []byte("[listen]\naddress = \"127.0.0.1:0\"\nconnections = 2048\nhttp2_streams = 250\n[upstream]\nconnections = 1024\n[files]\nclusters = \"none\"\n"+
		"[[class]]\nname = \"read\"\neffect = \"safe\"\ndeadline = \"60s\"\naim = \"5s\"\n[[host]]\n[[host.route]]\nprefix = \"/\"\nclass = \"read\"\ncluster = \"c\"\n"))
	if err != nil {
		tb.Fatal(err)
	}
	c := &cluster.Config{Name: "c", ShrinkTo: -1}
	c.Transport.HTTP2 = s.HTTP2
	if s.TLS {
		c.Transport.TLS = &cluster.TLS{ServerName: "side.test", Roots: "ca"}
	}
	for i, a := range addrs {
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprint(i), Address: a, Weight: 1})
	}
	a, err := app.New(&files.Snapshot{Program: p, Version: &cluster.Version{Clusters: map[string]*cluster.Config{"c": c}}},
		app.Options{Seed: 1, Log: testutil.Quiet, Keys: s.keys})
	if err != nil {
		tb.Fatal(err)
	}
	set := p.Listener
	set.TLS = s.TLS
	l := testutil.Listen(tb)
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { a.ServeListener(ctx, l, set) })
	tb.Cleanup(func() { stop(); run.Wait(); a.Close() })
	return l.Addr().String()
}

func (s *sides) theirs(tb testing.TB, addrs []string) string {
	var next atomic.Uint32
	transport := s.transport()
	tb.Cleanup(transport.CloseIdleConnections)
	return s.serve(tb, &httputil.ReverseProxy{
		Transport: transport, BufferPool: &bufferPool{},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: s.scheme(), Host: addrs[int(next.Add(1))%len(addrs)]})
			r.SetXForwarded()
		},
	})
}

// load asks n times by so many clients at once, and gives the answers a second and p99.
func (s *sides) load(tb testing.TB, addr string, clients, n, size int) (perSecond float64, p99 time.Duration) {
	transport := s.transport()
	defer transport.CloseIdleConnections()
	var left atomic.Int64
	left.Store(int64(n))
	took := make([][]time.Duration, clients)
	var run sync.WaitGroup
	began := time.Now()
	for i := range clients {
		run.Go(func() {
			for left.Add(-1) >= 0 {
				at := time.Now()
				r, _ := http.NewRequest("GET", s.scheme()+"://"+addr+"/x", nil)
				r.Header.Set("X-Size", strconv.Itoa(size))
				resp, err := transport.RoundTrip(r)
				if err != nil {
					tb.Error(err)
					return
				}
				got, err := io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || got != int64(size) {
					tb.Errorf("status %d, %d bytes, %v", resp.StatusCode, got, err)
					return
				}
				took[i] = append(took[i], time.Since(at))
			}
		})
	}
	run.Wait()
	all := slices.Concat(took...)
	slices.Sort(all)
	if len(all) == 0 {
		return 0, 0
	}
	return float64(len(all)) / time.Since(began).Seconds(), all[len(all)*99/100]
}

// BenchmarkSides holds the program beside ReverseProxy, in turns within one run, for each way
// in which both sides may speak. Its figures are ratios: over 1 is better for rate, under 1
// for p99.
func BenchmarkSides(b *testing.B) {
	authority, err := keymaker.New("test")
	if err != nil {
		b.Fatal(err)
	}
	folder := b.TempDir()
	if err := authority.Write(folder, "side", "side.test"); err != nil {
		b.Fatal(err)
	}
	keys, err := tlskeys.Open(folder, "", testutil.Quiet)
	if err != nil {
		b.Fatal(err)
	}
	block := make([]byte, 32<<10)
	for _, of := range webpeer.Wires() {
		for _, tc := range []struct{ size, clients, n int }{{256, 64, 4000}, {1 << 20, 16, 200}, {100 << 20, 4, 8}} {
			b.Run(fmt.Sprintf("%v/%dB", of, tc.size), func(b *testing.B) {
				s := &sides{of, keys, authority}
				var addrs []string
				for range 2 {
					addrs = append(addrs, s.serve(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						size, _ := strconv.Atoi(r.Header.Get("X-Size"))
						w.Header().Set("Content-Length", strconv.Itoa(size))
						for size > 0 {
							n, err := w.Write(block[:min(size, len(block))])
							if size -= n; err != nil {
								return
							}
						}
					})))
				}
				ours, theirs := s.ours(b, addrs), s.theirs(b, addrs)
				s.load(b, ours, tc.clients, tc.n/4, tc.size)
				s.load(b, theirs, tc.clients, tc.n/4, tc.size)
				var rate, tail []float64
				for range 5 { // in turns, whatever b.N
					r1, p1 := s.load(b, ours, tc.clients, tc.n, tc.size)
					r2, p2 := s.load(b, theirs, tc.clients, tc.n, tc.size)
					rate, tail = append(rate, r1/r2), append(tail, float64(p1)/float64(p2))
				}
				slices.Sort(rate)
				slices.Sort(tail)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(rate[2], "rate-ratio")
				b.ReportMetric(tail[2], "p99-ratio")
				b.ReportMetric(rate[0], "rate-least")
				b.ReportMetric(rate[4], "rate-most")
			})
		}
	}
}
