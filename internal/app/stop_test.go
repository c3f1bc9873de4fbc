package app

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/files"
	"yokestall/internal/testutil"
)

// shortDeadline returns a version without HTTP/2 whose requests have this deadline.
func shortDeadline(t *testing.T, deadline string, servers ...cluster.Endpoint) *files.Configuration {
	text := strings.ReplaceAll(strings.ReplaceAll(program, `"5s"`, deadline), "[files]", "http2_streams = 0\n[files]")
	return newConfiguration(parse(t, text), roomsCluster(servers...))
}

// serveUntilStopped runs an app on a listener until stop is called. served receives the result of App.Serve.
func serveUntilStopped(
	t *testing.T, first *files.Configuration,
) (a *App, addr string, stop context.CancelFunc, served <-chan error) {
	t.Helper()
	a, err := New(first, Options{Seed: 1, Log: testutil.Log(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	l := testutil.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	ended := make(chan error, 1)
	go func() { ended <- a.Serve(ctx, l) }()
	return a, l.Addr().String(), stop, ended
}

// A client that connected before a graceful shutdown may send its first request when too little time for the deadline of
// the request is left. Such a request must not be sent to a server, since the end of the shutdown would cut it off.
func TestStopTakesNothingThatItCantAnswer(t *testing.T) {
	t.Parallel()
	var sent sync.Map // ids of the requests that reached a server
	hangs := func(nc net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			sent.Store(r.Header.Get("X-Request-Id"), true)
			nc.Read(make([]byte, 1)) // gives no answer, so that the request ends at its deadline
		}
	}
	var servers []cluster.Endpoint // as many as requests, so that the policy admits each request
	for i := range 3 {
		servers = append(servers, cluster.Endpoint{ID: fmt.Sprint(i), Address: testutil.Accept(t, hangs), Weight: 1})
	}
	_, addr, stop, served := serveUntilStopped(t, shortDeadline(t, `"1s"`, servers...))
	var clients []net.Conn
	for range 3 { // all connect before the shutdown
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		clients = append(clients, nc)
	}
	stop()
	for i, nc := range clients { // each client sends its request once the previous request is answered or cut off
		fmt.Fprintf(nc, "GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\n\r\n", i)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err == nil {
			resp.Body.Close()
		} else if _, reached := sent.Load(fmt.Sprint("r", i)); reached {
			t.Errorf("request %d was sent to a server and got no answer: %v", i, err)
		}
	}
	if _, reached := sent.Load("r0"); !reached {
		t.Error("the first request was not sent to a server, want it sent")
	}
	if err := testutil.Wait(t, served, "the shutdown to end"); err != nil {
		t.Errorf("Serve: %v", err)
	}
}

// Guards against a request that is cut off, because a version shortened the deadlines before its listener ended: the request
// has the time that it was given when it came.
func TestStopAwaitsEarlierDeadlines(t *testing.T) {
	t.Parallel()
	received := make(chan struct{}, 1)
	hangs := func(nc net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			received <- struct{}{}
			nc.Read(make([]byte, 1)) // gives no answer, so that the request ends at its deadline
		}
	}
	server := cluster.Endpoint{ID: "1", Address: testutil.Accept(t, hangs), Weight: 1}
	a, addr, stop, served := serveUntilStopped(t, shortDeadline(t, `"2s"`, server))
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	fmt.Fprint(nc, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	testutil.Wait(t, received, "the request to be at work")
	if err := a.Apply(shortDeadline(t, `"100ms"`, server)); err != nil {
		t.Fatal(err)
	}
	stop()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	resp.Body.Close()
	if err := testutil.Wait(t, served, "the shutdown to end"); err != nil {
		t.Errorf("Serve: %v", err)
	}
}
