package app

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// An HTTP/2 client with an open stream gets GOAWAY as soon as its listener closes, and not only when the stream ends.
func TestGoAwayAtListenerEnd(t *testing.T) {
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Write(bytes.Repeat([]byte("x"), 1000))
	})
	listener := config.Listener{HTTP2: 10, Drain: testutil.WaitTimeout}
	c := newCellWithServers(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
	nc, f, err := rawpeer.OpenHTTP2(c.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	f.WriteSettingsAck()
	f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, EndStream: true,
		BlockFragment: rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")})
	testutil.Wait(t, b.Requests, "the request to reach its server")
	ended := make(chan struct{})
	go func() { defer close(ended); c.listeners.Close() }()
	var goneAway, complete bool
	for got := 0; !complete; {
		frame, err := f.ReadFrame()
		if err != nil {
			t.Fatalf("GOAWAY received: %v, %d bytes of the answer, connection error: %v", goneAway, got, err)
		}
		switch frame := frame.(type) {
		case *http2.GoAwayFrame:
			if goneAway = true; frame.ErrCode != http2.ErrCodeNo || frame.LastStreamID < 1 {
				t.Errorf("got %v, want code NO_ERROR and the stream accepted", frame)
			}
			close(release) // released only here, so that GOAWAY must arrive while the stream is open
		case *http2.DataFrame:
			got += len(frame.Data())
			complete = frame.StreamEnded()
			if complete && got != 1000 {
				t.Errorf("the answer has %d bytes, want 1000", got)
			}
		}
	}
	testutil.Wait(t, ended, "the listener to close")
	if _, err := net.Dial("tcp", c.addr); err == nil {
		t.Error("the closed listener still accepts connections")
	}
	if !goneAway {
		t.Error("the client got no GOAWAY")
	}
}

// A listener closes while one HTTP/2 connection has many open streams. Every request that was accepted must get its
// complete answer.
func TestDrainWithStreams(t *testing.T) {
	const streams = 1000
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
		}
		w.Write(webpeer.Pattern(3000))
	})
	listener := config.Listener{HTTP2: streams}
	c := newCellWithServers(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
	if _, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil { // opens the connection
		t.Fatal(err)
	}
	testutil.Wait(t, b.Requests, "the first request to reach its server")
	var run sync.WaitGroup
	var complete atomic.Int64
	for range streams {
		run.Go(func() {
			resp, text, err := c.exchange("POST", "/x", "", nil, 0)
			if err == nil && resp.StatusCode == 200 && bytes.Equal(text, webpeer.Pattern(3000)) {
				complete.Add(1)
			} else if err == nil && resp.StatusCode != 503 { // the policy may reject requests over the capacity
				t.Errorf("answer %v with %d bytes, want a complete answer or status 503", resp, len(text))
			}
		})
	}
	testutil.Wait(t, b.Requests, "the first stream's request to reach its server")
	ended := make(chan struct{})
	go func() { defer close(ended); c.listeners.Close() }()
	testutil.Until(t, "the listener to refuse connections", func() bool {
		nc, err := net.Dial("tcp", c.addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	close(release)
	run.Wait()
	testutil.Wait(t, ended, "the listener to close")
	// Requests that arrived after the GOAWAY were not accepted. All that reached the server must be answered.
	if n := int64(len(b.Requests)) + 1; complete.Load() < n {
		t.Errorf("%d requests reached the server, only %d got a complete answer", n, complete.Load())
	}
	if _, _, err := c.exchange("GET", "/x", "", nil, 0); err == nil {
		t.Error("the closed listener still serves requests")
	}
}

// Guards against a listener that waits for clients which were not told to move: HTTP/2 began on their connections after the
// listener had told the others.
func TestGoAwayOnLateConnections(t *testing.T) {
	const idleTimeout = 10 * time.Second // after which an idle connection ends by itself
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("x")) })
	listener := config.Listener{HTTP2: 10, Drain: testutil.WaitTimeout}
	c := newCellWithServers(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
	early, earlyFrames, err := rawpeer.OpenHTTP2(c.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	late, err := net.Dial("tcp", c.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	late.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	began, ended := time.Now(), make(chan struct{})
	go func() { defer close(ended); c.listeners.Close() }()
	readToGoAway(t, earlyFrames) // the listener has told its clients
	if _, err := io.WriteString(late, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	lateFrames := http2.NewFramer(late, late)
	if err := lateFrames.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	readToGoAway(t, lateFrames)
	testutil.Wait(t, ended, "the listener to close")
	if took := time.Since(began); took >= idleTimeout {
		t.Errorf("the listener took %v to close, want less than the %v after which idle connections end", took, idleTimeout)
	}
}

// readToGoAway reads frames up to a GOAWAY.
func readToGoAway(t *testing.T, f *http2.Framer) {
	t.Helper()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			t.Fatalf("no GOAWAY: %v", err)
		}
		if _, ok := frame.(*http2.GoAwayFrame); ok {
			return
		}
	}
}
