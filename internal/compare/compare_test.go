// Package compare holds the benchmark that runs the program's HTTP front, net/http's
// reverse proxy and a plain TCP relay on the same stand-in servers and the same load.
package compare

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

const servers = 4

const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 256\r\n\r\n"

// startServer is a server that costs as little as one can: it answers each head that it
// reads with the same bytes.
func startServer(tb testing.TB) string {
	l := testutil.Listen(tb)
	var conns sync.Map
	tb.Cleanup(func() {
		l.Close()
		conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
	})
	out := append([]byte(answer), bytes.Repeat([]byte("x"), 256)...)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns.Store(nc, nil)
			go func() {
				defer nc.Close()
				defer conns.Delete(nc)
				in := bufio.NewReader(nc)
				for {
					for {
						line, err := in.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(line) == 2 {
							break
						}
					}
					if _, err := nc.Write(out); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func startFront(tb testing.TB, addrs []string) string { return (&sides{}).ours(tb, addrs) }

func startReverseProxy(tb testing.TB, addrs []string) string { return (&sides{}).theirs(tb, addrs) }

type bufferPool struct{ pool sync.Pool }

func (b *bufferPool) Get() []byte {
	if p, ok := b.pool.Get().(*[]byte); ok {
		return *p
	}
	return make([]byte, 32<<10)
}

func (b *bufferPool) Put(p []byte) { b.pool.Put(&p) }

// startRelay copies bytes: what no proxy that reads HTTP can do better.
func startRelay(tb testing.TB, addrs []string) string {
	l := testutil.Listen(tb)
	go func() {
		for i := 0; ; i++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", addrs[i%len(addrs)])
			if err != nil {
				nc.Close()
				continue
			}
			relay := func(to, from net.Conn) {
				defer to.Close()
				defer from.Close()
				// Not io.Copy: it would splice in the kernel, without reading.
				b := make([]byte, 4<<10)
				for {
					n, err := from.Read(b)
					if err != nil {
						return
					}
					if _, err := to.Write(b[:n]); err != nil {
						return
					}
				}
			}
			go relay(up, nc)
			go relay(nc, up)
		}
	}()
	return l.Addr().String()
}

// client is one connection that asks one request after another.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(tb testing.TB, addr string) *client {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	return &client{nc, bufio.NewReader(nc)}
}

var request = []byte("GET /hotels/7/rooms?from=2026-12-01 HTTP/1.1\r\nHost: rates.example.org\r\n" +
	"User-Agent: load\r\nAccept: */*\r\nX-Timeout-Ms: 4000\r\n\r\n")

// ask makes a request and reads its answer: 200, with 256 bytes.
func (c *client) ask() error {
	if _, err := c.Write(request); err != nil {
		return err
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
		return fmt.Errorf("answer %q", line)
	}
	for len(line) > 2 {
		if line, err = c.in.ReadSlice('\n'); err != nil {
			return err
		}
	}
	_, err = c.in.Discard(256)
	return err
}

var kinds = []struct {
	name  string
	start func(testing.TB, []string) string
}{{"front", startFront}, {"reverseproxy", startReverseProxy}, {"relay", startRelay}}

// BenchmarkProxies tells requests a second, and the median and the 99th percentile of
// their times, by connections. Load, proxy and servers share the cores: compare figures
// within one run only.
func BenchmarkProxies(b *testing.B) {
	for _, conns := range []int{1, 16, 128} {
		for _, kind := range kinds {
			b.Run(fmt.Sprintf("conns=%d/%s", conns, kind.name), func(b *testing.B) {
				var addrs []string
				for range servers {
					addrs = append(addrs, startServer(b))
				}
				addr := kind.start(b, addrs)
				var clients []*client
				for range conns {
					c := dial(b, addr)
					defer c.Close()
					clients = append(clients, c)
				}
				load := func(n int64) (times []time.Duration, failed int) {
					var left atomic.Int64
					left.Store(n)
					var mu sync.Mutex
					var all sync.WaitGroup
					for _, c := range clients {
						all.Go(func() {
							var mine []time.Duration
							bad := 0
							for left.Add(-1) >= 0 {
								began := time.Now()
								if err := c.ask(); err != nil {
									bad++
									c.Close()
									*c = *dial(b, addr)
								}
								mine = append(mine, time.Since(began))
							}
							mu.Lock()
							times, failed = append(times, mine...), failed+bad
							mu.Unlock()
						})
					}
					all.Wait()
					return times, failed
				}
				load(int64(20 * conns)) // connections are open, and what is usual is known
				b.ReportAllocs()
				b.ResetTimer()
				times, failed := load(int64(b.N))
				b.StopTimer()
				if failed > 0 {
					b.Logf("%d of %d failed", failed, b.N)
				}
				slices.Sort(times)
				us := func(part float64) float64 {
					return float64(times[int(part*float64(len(times)-1))].Nanoseconds()) / 1000
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
				b.ReportMetric(us(0.5), "p50-us")
				b.ReportMetric(us(0.99), "p99-us")
			})
		}
	}
}

// The three carry the same requests to the same answers.
func TestSameAnswers(t *testing.T) {
	addrs := []string{startServer(t), startServer(t)}
	for _, kind := range kinds {
		c := dial(t, kind.start(t, addrs))
		for range 20 {
			if err := c.ask(); err != nil {
				t.Errorf("%s: %v", kind.name, err)
				break
			}
		}
		c.Close()
	}
}
