package h1server

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
)

// drawWholeRequest draws a whole request with a body, in the writes in which its client sends it.
func drawWholeRequest(random *rand.Rand, id string) (writes []string) {
	size := []int{1, 300, 5000, 60 << 10}[random.IntN(4)]
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 5000\r\nIdempotency-Key: %s\r\n", id, id)
	body := strings.Repeat("b", size)
	if random.IntN(2) == 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	if random.IntN(2) == 0 {
		return []string{head, body}
	}
	return []string{head + body}
}

// Guards against a request that was read and gets no answer, because its connection is closed for another client's while the server
// is held up: the connection of a request that has come whole keeps its place, whatever its framing and size and wherever the server
// is held up.
func TestReadRequestsKeepTheirPlace(t *testing.T) {
	const clients, others = 3, 12
	for _, strict := range []bool{false, true} {
		for seed := range uint64(6) {
			release := make(chan struct{})
			answer := clusterFunc(func() engine.Answer { return engine.Answer{Verdict: engine.Rejected, Sent: true} })
			server := New(routerFunc(func(r *http.Request) (ingress.Destination, error) {
				if r.Header.Get("Idempotency-Key") != "" {
					<-release // held up
				}
				return ingress.Destination{
					Cluster: answer, Deadline: testutil.WaitTimeout, MaxAttempts: 1, Idempotency: 1,
				}, nil
			}), Options{
				Clock: engine.NewClock(), Log: testutil.Log(t), Strict: strict,
				ConnectionLimits: connlimit.Limits{Active: clients, Reserve: 1, New: 4, Overflow: others},
			})
			addr := serve(t, server)
			random := rand.New(rand.NewPCG(seed, 0))
			var conns []net.Conn
			for i := range clients {
				nc := dialServer(t, addr)
				for _, text := range drawWholeRequest(random, fmt.Sprintf("a-%d", i)) {
					io.WriteString(nc, text)
				}
				conns = append(conns, nc)
			}
			time.Sleep(2 * connlimit.PartialGrace)
			for range others { // want their places
				io.WriteString(dialServer(t, addr), "GET /x HTTP/1.1\r\nHost: a\r\n")
				time.Sleep(connlimit.NewGrace)
			}
			close(release)
			for i, nc := range conns {
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("strict %v, seed %d, client %d: answer %v, error %v; want status 503", strict, seed, i, resp, err)
				}
			}
		}
	}
}

// dialServer opens a connection that is closed with the test.
func dialServer(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	return nc
}
