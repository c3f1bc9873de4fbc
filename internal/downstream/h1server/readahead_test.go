package h1server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
)

// Reading ahead is limited for each connection and for all connections together, and loses nothing: the requests after
// the first one are answered.
func TestReadAheadIsLimitedAndLossless(t *testing.T) {
	t.Parallel()
	const clients, pipelined = 40, 4000
	release := make(chan struct{})
	var requests atomic.Int64
	server := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
			<-release
			requests.Add(1)
			return engine.Answer{Verdict: engine.Rejected, Sent: true} // an endpoint has worked for each, so that none waits its turn
		}), Deadline: time.Hour, MaxAttempts: 1}, nil
	}), Options{
		Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 2 * clients, New: 2 * clients},
		Log: testutil.Log(t),
	})
	addr := serve(t, server)
	const head = "GET /x HTTP/1.1\r\nHost: a\r\n"
	conns := make([]net.Conn, clients)
	for i := range conns {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		conns[i] = nc
		// The client sends more bytes than are read ahead.
		go io.WriteString(nc, strings.Repeat(head+"\r\n", pipelined)+head+"Connection: close\r\n\r\n")
	}
	testutil.Until(t, "maxTotalReadAhead to be reached", func() bool {
		n := server.conns.readAheadBytes.Load()
		if n > maxTotalReadAhead {
			t.Fatalf("%d bytes are read ahead on all connections, want at most maxTotalReadAhead", n)
		}
		return n > maxTotalReadAhead-readAheadChunk
	})
	close(release)
	for _, nc := range conns {
		nc.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
		text, err := io.ReadAll(nc)
		if n := strings.Count(string(text), "HTTP/1.1 503"); n != pipelined+1 || err != nil {
			t.Errorf("got %d answers and error %v, want %d answers", n, err, pipelined+1)
		}
	}
	if n := server.conns.readAheadBytes.Load(); n != 0 || requests.Load() != clients*(pipelined+1) {
		t.Errorf("%d bytes are read ahead at the end, want 0; %d requests were served, want %d",
			n, requests.Load(), clients*(pipelined+1))
	}
}

// The platform's clients send one request at a time. A client that sends more after its request than is read ahead, and
// more than the sockets buffer, is detected if it disconnects. If it stays connected, it gets its answer, and nothing
// after its request is served.
func TestFloodBehindRequest(t *testing.T) {
	t.Parallel()
	const head = "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n"
	flood := strings.Repeat(head, 1<<17) // 9 MB
	connect := func(t *testing.T, to ingress.Router) (*Server, net.Conn) {
		server := New(to, strictOptions(t))
		nc, err := net.Dial("tcp", serve(t, server))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, head)
		return server, nc
	}
	t.Run("and leaves", func(t *testing.T) {
		t.Parallel()
		cluster := newPendingCluster()
		_, nc := connect(t, cluster)
		testutil.Wait(t, cluster.received, "the request")
		nc.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // the client does not wait until its bytes are read
		io.WriteString(nc, flood)
		nc.Close() // the end of the connection comes after bytes that the sockets can't buffer
		testutil.Wait(t, cluster.ended, "the request to be abandoned")
	})
	for _, others := range []int64{0, maxTotalReadAhead} { // bytes read ahead on other connections
		t.Run(fmt.Sprint("and stays, ", others, " held"), func(t *testing.T) {
			t.Parallel()
			received, release := make(chan bool, 2), make(chan bool)
			server, nc := connect(t, routerFunc(func(*http.Request) (ingress.Destination, error) {
				return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
					received <- true
					<-release
					return engine.Answer{Verdict: engine.Rejected}
				}), Deadline: time.Hour, MaxAttempts: 1}, nil
			}))
			server.conns.readAheadBytes.Add(others)
			testutil.Wait(t, received, "the request")
			nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
			if n, err := io.WriteString(nc, flood); err != nil { // the flood is more than the sockets buffer
				t.Fatalf("writing the flood failed after %d bytes: %v", n, err)
			}
			if n := server.conns.readAheadBytes.Load() - others; n > maxReadAhead+readAheadChunk {
				t.Errorf("%d bytes are read ahead on the connection, want at most %d", n, maxReadAhead+readAheadChunk)
			}
			close(release)
			text, _ := io.ReadAll(nc) // reading ends with a reset if the server left bytes unread
			rejected := strings.HasPrefix(string(text), "HTTP/1.1 503")
			closed := strings.Contains(string(text), "Connection: close")
			if !rejected || !closed || strings.Count(string(text), "HTTP/1.1") != 1 {
				t.Errorf("the client received %q, want one response with status 503 and Connection: close", text)
			}
			if len(received) > 0 {
				t.Error("a request after the first one was served")
			}
			testutil.Until(t, "the connection's bytes to be released", func() bool {
				return server.conns.readAheadBytes.Load() == others
			})
		})
	}
}
