package app

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http2"

	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// Clients of HTTP/2 that have a stream open get GOAWAY as soon as the listener ends, not when their stream does.
func TestGoAwayAtListenerEnd(t *testing.T) {
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Write(bytes.Repeat([]byte("x"), 1000))
	})
	listener := config.Listener{HTTP2: 10, Drain: testutil.WaitTimeout}
	c := newCellTo(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, listener, b.Addr())
	nc, f, err := rawpeer.OpenHTTP2(c.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	f.WriteSettingsAck()
	f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, EndStream: true,
		BlockFragment: rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")})
	testutil.Wait(t, b.Requests, "the request")
	ended := make(chan struct{})
	go func() { defer close(ended); c.listeners.Close() }()
	var goneAway, complete bool
	for got := 0; !complete; {
		frame, err := f.ReadFrame()
		if err != nil {
			t.Fatalf("GOAWAY %v, %d bytes: %v", goneAway, got, err)
		}
		switch frame := frame.(type) {
		case *http2.GoAwayFrame:
			if goneAway = true; frame.ErrCode != http2.ErrCodeNo || frame.LastStreamID < 1 {
				t.Errorf("%v", frame)
			}
			close(release) // only now: GOAWAY came while the stream was open
		case *http2.DataFrame:
			got += len(frame.Data())
			complete = frame.StreamEnded()
			if complete && got != 1000 {
				t.Errorf("%d bytes", got)
			}
		}
	}
	testutil.Wait(t, ended, "the listener's end")
	if _, err := net.Dial("tcp", c.addr); err == nil {
		t.Error("the listener still takes connections")
	}
	if !goneAway {
		t.Error("no GOAWAY")
	}
}

// The listener's end with streams open on one HTTP/2 connection: each gets its complete answer, the client gets GOAWAY,
// and no request is rejected that had been accepted.
func TestDrainWithStreams(t *testing.T) {
	const streams = 1000
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
		}
		w.Write(webpeer.Pattern(3000))
	})
	c := newCellTo(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: streams}, b.Addr())
	if _, _, err := c.exchange("GET", "/x", "", nil, 0); err != nil { // opens the connection
		t.Fatal(err)
	}
	testutil.Wait(t, b.Requests, "the first")
	var run sync.WaitGroup
	var complete atomic.Int64
	for range streams {
		run.Go(func() {
			resp, text, err := c.exchange("POST", "/x", "", nil, 0)
			if err == nil && resp.StatusCode == 200 && bytes.Equal(text, webpeer.Pattern(3000)) {
				complete.Add(1)
			} else if err == nil && resp.StatusCode != 503 { // the policy may reject what it can't place
				t.Errorf("%v", resp)
			}
		})
	}
	testutil.Wait(t, b.Requests, "the first to be out")
	ended := make(chan struct{})
	go func() { defer close(ended); c.listeners.Close() }()
	testutil.Until(t, "the listener to be gone", func() bool {
		nc, err := net.Dial("tcp", c.addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	close(release)
	run.Wait()
	testutil.Wait(t, ended, "the end")
	// Some came too late, behind the GOAWAY: they were not accepted. What was accepted is answered.
	if n := int64(len(b.Requests)) + 1; complete.Load() < n {
		t.Errorf("%d reached the server, %d whole answers came back", n, complete.Load())
	}
	if _, _, err := c.exchange("GET", "/x", "", nil, 0); err == nil {
		t.Error("the listener still serves")
	}
}
