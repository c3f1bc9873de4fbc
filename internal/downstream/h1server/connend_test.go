package h1server

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
)

// Guards against a connection that ends without a reason: each way to end counts under its own.
func TestEachEndHasItsReason(t *testing.T) {
	const get = "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 2000\r\n%s\r\n"
	for _, c := range []struct {
		name   string
		strict bool
		end    func(t *testing.T, addr string, nc net.Conn)
		want   endReason
	}{
		{"the client closes it", true, func(_ *testing.T, _ string, nc net.Conn) { nc.Close() }, endByClient},
		{"the answer closes it", false, func(_ *testing.T, _ string, nc net.Conn) {
			fmt.Fprintf(nc, get, "b", "Connection: close\r\n")
		}, endWithAnswer},
		{"too many fields", true, func(_ *testing.T, _ string, nc net.Conn) {
			fmt.Fprintf(nc, get, "b", strings.Repeat("a: b\r\n", 2*maxFields))
		}, endTooManyFields},
		{"others want its place", true, func(t *testing.T, addr string, _ net.Conn) {
			for i := range 2 * fewConnections.Active {
				fmt.Fprintf(dialServer(t, addr), get, fmt.Sprint("other-", i), "")
				time.Sleep(connlimit.NewGrace)
			}
		}, endPlaceWanted},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := strictOptions(t)
			o.Strict = c.strict
			server := New(&countingCluster{}, o)
			addr := serve(t, server)
			nc := dialServer(t, addr)
			fmt.Fprintf(nc, get, "a", "")
			if _, err := http.ReadResponse(bufio.NewReader(nc), nil); err != nil {
				t.Fatal(err)
			}
			c.end(t, addr, nc)
			testutil.Until(t, "an end for "+endReasonNames[c.want], func() bool {
				return server.ConnectionEnds()[endReasonNames[c.want]] > 0
			})
		})
	}
}

// Guards against a connection that ends under a request that was read: with fewer places than clients, drawn clients of all kinds
// and a server that is held up, each request that the router has seen gets its answer.
func TestNoEndUnderAReadRequest(t *testing.T) {
	const clients, requests = 24, 12
	for seed := range uint64(4) {
		var mu sync.Mutex
		routed := map[string]bool{}
		random := rand.New(rand.NewPCG(seed, 0))
		holdUp := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(random.IntN(4)) * connlimit.PartialGrace / 2
		}
		answer := clusterFunc(func() engine.Answer { return engine.Answer{Verdict: engine.Rejected, Sent: true} })
		server := New(routerFunc(func(r *http.Request) (ingress.Destination, error) {
			mu.Lock()
			routed[r.Header.Get("X-Request-Id")] = true
			mu.Unlock()
			time.Sleep(holdUp())
			return ingress.Destination{Cluster: answer, Deadline: testutil.WaitTimeout, MaxAttempts: 1, Idempotency: 1}, nil
		}), Options{
			Clock: engine.NewClock(), Log: testutil.Log(t), Strict: seed%2 == 0,
			ConnectionLimits: connlimit.Limits{Active: clients / 3, Reserve: 2, New: 4, Overflow: 2},
		})
		addr := serve(t, server)
		var running sync.WaitGroup
		for i := range clients {
			running.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(i+1)))
				for n := range requests {
					id := fmt.Sprintf("%d-%d-%d", seed, i, n)
					if random.IntN(4) == 0 { // a part of a request, so that others want places
						if nc, err := net.Dial("tcp", addr); err == nil {
							io.WriteString(nc, "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nx")
							time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
							nc.Close()
						}
					}
					answered := sendWhole(addr, drawWholeRequest(random, id))
					mu.Lock()
					if routed[id] && !answered {
						t.Errorf("seed %d: request %s was read and got no answer; ends: %v", seed, id, server.ConnectionEnds())
					}
					mu.Unlock()
				}
			})
		}
		running.Wait()
		t.Logf("seed %d: %d requests read; ends: %v", seed, len(routed), server.ConnectionEnds())
	}
}

// sendWhole sends a request on a connection of its own and reports whether it was answered.
func sendWhole(addr string, writes []string) (answered bool) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	for _, text := range writes {
		if _, err := io.WriteString(nc, text); err != nil {
			break
		}
	}
	_, err = http.ReadResponse(bufio.NewReader(nc), nil)
	return err == nil
}
