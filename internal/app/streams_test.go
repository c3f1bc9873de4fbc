package app

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// Streams of a class that has bounds end by them, so that their clients can tell; others and
// those of classes without bounds go on. A drain that comes between a stream's head and its place
// in the table counts like one before or after.
func TestStreamsEnd(t *testing.T) {
	started := make(chan struct{}, 100)
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/quick" {
			return
		}
		io.WriteString(w, "event\n")
		w.(http.Flusher).Flush()
		started <- struct{}{}
		<-r.Context().Done()
	})
	other := testutil.StartAppServer(t, "other")
	bounds := func(text string) *config.Program {
		return parse(t, strings.Replace(program, "effect = \"safe\"\n", "effect = \"safe\"\n"+text, 1))
	}
	server := cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1}
	leaves := server
	leaves.Health = cluster.Draining
	for _, tc := range []struct {
		name, class string
		news        func(p *config.Program) *cluster.Config // while the stream is open; nil: none
		ends        bool
	}{
		{"whole", "stream = \"50ms\"\n", nil, true},
		{"progress", "progress = \"50ms\"\n", nil, true},
		{"drains", "stream_drain = \"50ms\"\n", func(*config.Program) *cluster.Config { return rooms(leaves, at(other)) }, true},
		{"is gone", "stream_drain = \"50ms\"\n", func(*config.Program) *cluster.Config { return rooms(at(other)) }, true},
		{"another drains", "stream_drain = \"50ms\"\n", func(*config.Program) *cluster.Config {
			o := at(other)
			o.Health = cluster.Draining
			return rooms(server, o)
		}, false},
		{"no bound", "", func(*config.Program) *cluster.Config { return rooms(at(other)) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := bounds(tc.class)
			s := serve(t, snapshot(p, rooms(server)))
			resp, err := s.client.Get(s.url + "/events")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			in := bufio.NewReader(resp.Body)
			if line, err := in.ReadString('\n'); line != "event\n" {
				t.Fatalf("%q, %v", line, err)
			}
			testutil.Wait(t, started, "the stream")
			if tc.news != nil {
				if err := s.app.Apply(snapshot(p, tc.news(p))); err != nil {
					t.Fatal(err)
				}
			}
			over := make(chan error, 1)
			go func() { _, err := in.ReadByte(); over <- err }()
			if tc.ends {
				if err := testutil.Wait(t, over, "the stream's end"); err == nil || err == io.EOF {
					t.Errorf("the client takes a part for the whole: %v", err)
				}
				return
			}
			for range 20 { // longer than any bound above
				if status, _, _ := s.get("/quick", ""); status != 200 {
					t.Errorf("status %d", status)
				}
				time.Sleep(5 * time.Millisecond) // a pace
			}
			select {
			case err := <-over:
				t.Errorf("it ended: %v", err)
			default:
			}
		})
	}
}

// Word of the drain comes while the attempt is out: the stream that its answer becomes ends by the
// same bound as one that was open.
func TestDrainBeforeTheHead(t *testing.T) {
	let := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-let
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	p := parse(t, strings.Replace(program, "effect = \"safe\"\n", "effect = \"safe\"\nstream_drain = \"50ms\"\n", 1))
	s := serve(t, snapshot(p, rooms(cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1})))
	over := make(chan error, 1)
	go func() {
		resp, err := s.client.Get(s.url + "/events")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		over <- err
	}()
	testutil.Wait(t, b.Requests, "the request")
	err := s.app.Apply(snapshot(p, rooms(at(testutil.StartAppServer(t, "other")))))
	close(let)
	if err != nil {
		t.Fatal(err)
	}
	if err := testutil.Wait(t, over, "the stream's end"); err == nil {
		t.Error("the client takes a part for the whole")
	}
}

// A client that floods a connection over HTTP/2 is told so and loses it; one beside it is served.
func TestFloodsEndConnections(t *testing.T) {
	b := testutil.StartAppServer(t, "b")
	for _, tc := range []struct {
		name string
		send func(f *http2.Framer, i int) error
	}{
		{"pings", func(f *http2.Framer, _ int) error { return f.WritePing(false, [8]byte{}) }},
		{"settings", func(f *http2.Framer, _ int) error { return f.WriteSettings() }},
		{"empty data", func(f *http2.Framer, i int) error {
			if i == 0 {
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true,
					BlockFragment: rawpeer.Fields(":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/x")})
			}
			return f.WriteData(1, false, nil)
		}},
		{"continuations", func(f *http2.Framer, i int) error {
			if i == 0 {
				return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: rawpeer.Fields(":method", "GET")})
			}
			return f.WriteContinuation(1, false, nil)
		}},
		{"resets", func(f *http2.Framer, i int) error {
			var err error
			if i%2 == 0 {
				err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(i + 1), EndHeaders: true, EndStream: true,
					BlockFragment: rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")})
			} else {
				err = f.WriteRSTStream(uint32(i), http2.ErrCodeCancel)
			}
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCellTo(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: 1000, Resets: 20, Controls: 20, Pieces: 8}, b.Addr())
			nc, f, err := rawpeer.OpenHTTP2(c.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			told := make(chan http2.ErrCode, 1)
			go func() {
				for {
					frame, err := f.ReadFrame()
					if g, ok := frame.(*http2.GoAwayFrame); ok {
						told <- g.ErrCode
						return
					}
					if err != nil && !errors.As(err, new(http2.StreamError)) {
						told <- http2.ErrCodeNo
						return
					}
				}
			}()
			sent := 0
			for ; sent < 2000 && tc.send(f, sent) == nil; sent++ {
				if sent == 50 {
					if resp, _, err := c.ask("GET", "/x", "", nil, 0); err != nil || resp.StatusCode != 200 {
						t.Errorf("a usual client: %v, %v", resp, err)
					}
				}
			}
			if code := testutil.Wait(t, told, "the end"); code != http2.ErrCodeEnhanceYourCalm && sent == 2000 {
				t.Errorf("after %d frames: %v", sent, code)
			}
		})
	}
}

// Clients of HTTP/2 that have a stream open are told to move as soon as the listener ends, not
// when their stream does.
func TestMoveIsTold(t *testing.T) {
	hold := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-hold
		w.Write(bytes.Repeat([]byte("x"), 1000))
	})
	c := newCellTo(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: 10, Drain: testutil.WaitTimeout}, b.Addr())
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
	var moved, whole bool
	for got := 0; !whole; {
		frame, err := f.ReadFrame()
		if err != nil {
			t.Fatalf("moved %v, %d bytes: %v", moved, got, err)
		}
		switch frame := frame.(type) {
		case *http2.GoAwayFrame:
			if moved = true; frame.ErrCode != http2.ErrCodeNo || frame.LastStreamID < 1 {
				t.Errorf("%v", frame)
			}
			close(hold) // only now: told while the stream is open
		case *http2.DataFrame:
			got += len(frame.Data())
			whole = frame.StreamEnded()
			if whole && got != 1000 {
				t.Errorf("%d bytes", got)
			}
		}
	}
	testutil.Wait(t, ended, "the listener's end")
	if _, err := net.Dial("tcp", c.addr); err == nil {
		t.Error("the listener still takes connections")
	}
	if !moved {
		t.Error("never told")
	}
}
