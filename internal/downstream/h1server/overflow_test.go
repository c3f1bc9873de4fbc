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

// gatedCluster is a router and its cluster, which answers when it is released. Any other answer is the server's own.
type gatedCluster struct {
	started chan struct{}
	release chan struct{}
}

func (h *gatedCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: testutil.WaitTimeout, MaxRetryAfter: 600 * time.Millisecond}, nil
}

func (h *gatedCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	h.started <- struct{}{}
	<-h.release
	return engine.Answer{Verdict: engine.Served, Value: &h1client.Answer{Status: 200, Body: []byte("done")}}, nil
}

// While all connections are busy, further clients get a response with Retry-After, and beyond those places their
// connections are closed. The busy ones are served, and end with their response where they use the reserve.
func TestOverflowWhenAllConnectionsAreBusy(t *testing.T) {
	const asked, reserve, over = 16, 2, 2
	h := &gatedCluster{started: make(chan struct{}, 100), release: make(chan struct{})}
	f := New(h, Options{
		Clock: engine.NewClock(), Log: testutil.Log(t),
		ConnectionLimits: connlimit.Limits{Active: asked, Reserve: reserve, New: 4, Overflow: over},
	})
	l := testutil.Listen(t)
	srv, listener, ended := f.HTTPServer(), f.Listener(l), make(chan error, 1)
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
	for range asked {
		busy = append(busy, dial())
		testutil.Wait(t, h.started, "a request to be at work")
	}
	for range over { // a connection that is told to end keeps its place a while
		resp, err := http.ReadResponse(bufio.NewReader(dial()), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") != "0.600" {
			t.Errorf("over the places: status %d, close %v, headers %v", resp.StatusCode, resp.Close, resp.Header)
		}
	}
	close(h.release)
	last := 0
	for _, nc := range busy {
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("one at work ended with %v, %v", resp, err)
		}
		if resp.Close {
			last++
		}
	}
	if last == 0 {
		t.Error("nobody made room although the reserve was in use")
	}
	if len(h.started) != 0 {
		t.Errorf("%d of those over the places reached the cluster", len(h.started))
	}
}
