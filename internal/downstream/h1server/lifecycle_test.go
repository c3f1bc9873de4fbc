package h1server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// okAnswer is an answer with status 200.
func okAnswer() engine.Answer {
	return engine.Answer{Verdict: engine.Served, Value: &h1client.Answer{Status: http.StatusOK, Body: []byte("done")}}
}

// Guards against a request that the end of a listener cuts off: a version that came while the listener ends may give
// requests more time than the listener has left. Requests with less time are served meanwhile.
func TestDeadlinesAfterTheEndAreRejected(t *testing.T) {
	const left, margin = time.Hour, time.Minute
	deadline := left
	router := routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(okAnswer), Deadline: deadline, MaxAttempts: 1}, nil
	})
	server := New(router, Options{Clock: engine.NewClock(), ConnectionLimits: fewConnections, Log: testutil.Log(t)})
	addr := serve(t, server)
	server.RejectDeadlinesAfter(server.options.Clock.Now() + left)
	for _, c := range []struct {
		deadline time.Duration
		want     int
	}{
		{left - margin, http.StatusOK},
		{left + margin, http.StatusServiceUnavailable},
	} {
		deadline = c.deadline
		resp, err := http.Get("http://" + addr + "/")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("deadline in %v, end in %v: got status %d, want %d", c.deadline, left, resp.StatusCode, c.want)
		}
	}
}

// requestWith sends a request on a connection and reads its answer.
func requestWith(t *testing.T, nc net.Conn, in *bufio.Reader) *http.Response {
	t.Helper()
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	return readAnswer(t, in)
}

func readAnswer(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp
}

// Guards against a client that writes its next request while its connection is closed: the answer to a request that was at
// work when the server began to move its clients did not announce the close.
func TestAnswerAnnouncesTheClose(t *testing.T) {
	for name, begin := range map[string]func(ctx context.Context, s *Server){
		"shutdown":    func(_ context.Context, s *Server) { s.CloseAfterResponses() },
		"lame duck":   func(ctx context.Context, s *Server) { s.EnterLameDuck(ctx) },
		"hot restart": func(_ context.Context, s *Server) { s.DrainToSuccessor(canceled(), time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			cluster := &gatedCluster{started: make(chan struct{}, 1), release: make(chan struct{})}
			server := New(cluster, Options{Clock: engine.NewClock(), ConnectionLimits: fewConnections, Log: testutil.Log(t)})
			nc := dialServer(t, serve(t, server))
			io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
			testutil.Wait(t, cluster.started, "the request to be at work")
			begin(ctx, server)
			close(cluster.release)
			if resp := readAnswer(t, bufio.NewReader(nc)); !resp.Close {
				t.Error("the answer does not announce the close of its connection")
			}
		})
	}
}

// canceled returns a context that has ended.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a request without an answer, because its connection is closed right behind an answer that did not announce
// that. The connection is closed with the next answer, or when it has been idle for a while.
func TestDrainAwaitsTheNextRequest(t *testing.T) {
	router := routerFunc(func(*http.Request) (ingress.Destination, error) {
		return ingress.Destination{Cluster: clusterFunc(okAnswer), Deadline: time.Second, MaxAttempts: 1}, nil
	})
	server := New(router, Options{Clock: engine.NewClock(), ConnectionLimits: fewConnections, Log: testutil.Log(t)})
	addr := serve(t, server)
	answeredOnce := func(nc net.Conn) (in *bufio.Reader, began time.Time) {
		in = bufio.NewReader(nc)
		began = time.Now()
		if resp := requestWith(t, nc, in); resp.Close {
			t.Error("an answer before the drain announces the close")
		}
		return in, began
	}
	for { // until the drain begins before drainIdleTimeout is over
		nc := dialServer(t, addr)
		in, since := answeredOnce(nc)
		testutil.Until(t, "the connection to be idle", func() bool { return idleConnections(server) == 1 })
		server.CloseAfterResponses()
		server.Drain(canceled()) // looks for idle connections once
		if time.Since(since) < drainIdleTimeout {
			if resp := requestWith(t, nc, in); !resp.Close {
				t.Error("an answer in the drain does not announce the close")
			}
			break
		}
		server.closingAfterResponses.Store(false)
		server.CloseIdleConnections()
	}
	server.closingAfterResponses.Store(false)
	answeredOnce(dialServer(t, addr))
	ctx, cancel := context.WithTimeout(t.Context(), testutil.WaitTimeout)
	defer cancel()
	server.Drain(ctx)
	if ctx.Err() != nil || server.Connections() > 0 {
		t.Errorf("the drain has ended with %d connections, error %v, want none", server.Connections(), ctx.Err())
	}
}

// idleConnections returns the number of idle connections.
func idleConnections(s *Server) int {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.table.Idle()
}
