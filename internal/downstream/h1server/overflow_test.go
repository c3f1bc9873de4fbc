package h1server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/connlimit"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// gatedCluster is a router and its only cluster. It answers its requests with status 200 once release is closed, so
// that any other answer comes from the server itself.
type gatedCluster struct {
	started chan struct{}
	release chan struct{}
}

func (c *gatedCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: testutil.WaitTimeout, MaxRetryAfter: 600 * time.Millisecond}, nil
}

func (c *gatedCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	c.started <- struct{}{}
	<-c.release
	return engine.Answer{Verdict: engine.Served, Value: &h1client.Answer{Status: 200, Body: []byte("done")}}, nil
}

// While all connections are busy, further clients get a response with Retry-After, and beyond the limit on such clients
// their connections are closed. The busy connections are served, and are closed with their response where they use the
// reserve.
func TestOverflowWhenAllConnectionsAreBusy(t *testing.T) {
	const active, reserve, overflow = 16, 2, 2
	cluster := &gatedCluster{started: make(chan struct{}, 100), release: make(chan struct{})}
	server := New(cluster, Options{
		Clock: engine.NewClock(), Log: testutil.Log(t),
		ConnectionLimits: connlimit.Limits{Active: active, Reserve: reserve, New: 4, Overflow: overflow},
	})
	l := testutil.Listen(t)
	srv, listener, ended := server.HTTPServer(), server.Listener(l), make(chan error, 1)
	go func() { ended <- srv.Serve(listener) }()
	defer func() { srv.Close(); listener.Close(); <-ended }()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
		return nc
	}
	var busy []net.Conn
	for range active {
		busy = append(busy, dial())
		testutil.Wait(t, cluster.started, "a request to reach the cluster")
	}
	for range overflow { // no more clients, since each rejected connection keeps its place until it is closed
		resp, err := http.ReadResponse(bufio.NewReader(dial()), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") != "0.600" {
			t.Errorf("client beyond Limits.Active got status %d, close %v, header %v; want 503, true, Retry-After 0.600",
				resp.StatusCode, resp.Close, resp.Header)
		}
	}
	close(cluster.release)
	closing := 0
	for _, nc := range busy {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("busy connection got response %v and error %v, want status 200", resp, err)
		}
		if resp.Close {
			closing++
		}
	}
	if closing == 0 {
		t.Error("no busy connection is closed with its response although the reserve is in use")
	}
	if len(cluster.started) != 0 {
		t.Errorf("%d requests of clients beyond the limit reached the cluster, want 0", len(cluster.started))
	}
}
