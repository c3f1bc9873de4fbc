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

// Reading ahead is limited for each connection and for all of them, and loses nothing: the requests behind the first
// one are answered.
func TestReadAheadIsLimitedAndLossless(t *testing.T) {
	t.Parallel()
	const clients, behind = 40, 4000
	release := make(chan struct{})
	var requests atomic.Int64
	f := New(routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
			<-release
			requests.Add(1)
			return engine.Answer{Verdict: engine.Rejected}
		}), Deadline: time.Hour, MaxAttempts: 1}, nil
	}), Options{
		Clock: engine.NewClock(), ConnectionLimits: connlimit.Limits{Active: 2 * clients, New: 2 * clients},
		Log: testutil.Log(t),
	})
	addr := serve(t, f)
	const head = "GET /x HTTP/1.1\r\nHost: a\r\n"
	conns := make([]net.Conn, clients)
	for i := range conns {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		conns[i] = nc
		// More than is read ahead.
		go io.WriteString(nc, strings.Repeat(head+"\r\n", behind)+head+"Connection: close\r\n\r\n")
	}
	testutil.Until(t, "the bound to be met", func() bool {
		n := f.conns.readAheadBytes.Load()
		if n > maxTotalReadAhead {
			t.Fatalf("%d bytes are held", n)
		}
		return n > maxTotalReadAhead-readAheadChunk
	})
	close(release)
	for _, nc := range conns {
		nc.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
		text, err := io.ReadAll(nc)
		if n := strings.Count(string(text), "HTTP/1.1 503"); n != behind+1 || err != nil {
			t.Errorf("%d answers, %v", n, err)
		}
	}
	if n := f.conns.readAheadBytes.Load(); n != 0 || requests.Load() != clients*(behind+1) {
		t.Errorf("%d bytes are held, %d requests were served", n, requests.Load())
	}
}

// The platform's clients send one request at a time. The disconnect of one that sends more behind it than is read
// ahead, and more than the sockets buffer, is detected; one that stays connected gets its answer, and nothing behind
// its request is served.
func TestFloodBehindRequest(t *testing.T) {
	t.Parallel()
	const head = "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: i\r\nX-Timeout-Ms: 3000000\r\n\r\n"
	flood := strings.Repeat(head, 1<<17) // 9 MB
	connect := func(t *testing.T, to ingress.Router) (*Server, net.Conn) {
		f := New(to, strictOptions(t))
		nc, err := net.Dial("tcp", serve(t, f))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, head)
		return f, nc
	}
	t.Run("and leaves", func(t *testing.T) {
		t.Parallel()
		h := newPendingCluster()
		_, nc := connect(t, h)
		testutil.Wait(t, h.received, "the request")
		nc.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // it does not wait to be read
		io.WriteString(nc, flood)
		nc.Close() // its end lies behind what found no room
		testutil.Wait(t, h.ended, "the request to be given up")
	})
	for _, others := range []int64{0, maxTotalReadAhead} { // held of other connections
		t.Run(fmt.Sprint("and stays, ", others, " held"), func(t *testing.T) {
			t.Parallel()
			received, release := make(chan bool, 2), make(chan bool)
			f, nc := connect(t, routerFunc(func(*http.Request) (ingress.Destination, error) {
				return ingress.Destination{Cluster: clusterFunc(func() engine.Answer {
					received <- true
					<-release
					return engine.Answer{Verdict: engine.Rejected}
				}), Deadline: time.Hour, MaxAttempts: 1}, nil
			}))
			f.conns.readAheadBytes.Add(others)
			testutil.Wait(t, received, "the request")
			nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
			if n, err := io.WriteString(nc, flood); err != nil { // more than the sockets hold
				t.Fatalf("the flood was not read behind %d bytes: %v", n, err)
			}
			if n := f.conns.readAheadBytes.Load() - others; n > maxReadAhead+readAheadChunk {
				t.Errorf("%d bytes are held", n)
			}
			close(release)
			text, _ := io.ReadAll(nc) // ends with a reset where bytes were left unread
			rejected := strings.HasPrefix(string(text), "HTTP/1.1 503")
			closed := strings.Contains(string(text), "Connection: close")
			if !rejected || !closed || strings.Count(string(text), "HTTP/1.1") != 1 {
				t.Errorf("answered by %q", text)
			}
			if len(received) > 0 {
				t.Error("what came behind was served")
			}
			testutil.Until(t, "the connection to be over", func() bool { return f.conns.readAheadBytes.Load() == others })
		})
	}
}
