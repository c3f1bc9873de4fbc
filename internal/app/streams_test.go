package app

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
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
	other := testutil.Box(t, "other")
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
		{"drains", "stream_drain = \"50ms\"\n", func(*config.Program) *cluster.Config { return rooms(leaves, endpointOf(other)) }, true},
		{"is gone", "stream_drain = \"50ms\"\n", func(*config.Program) *cluster.Config { return rooms(endpointOf(other)) }, true},
		{"another drains", "stream_drain = \"50ms\"\n", func(*config.Program) *cluster.Config {
			o := endpointOf(other)
			o.Health = cluster.Draining
			return rooms(server, o)
		}, false},
		{"no bound", "", func(*config.Program) *cluster.Config { return rooms(endpointOf(other)) }, false},
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
	testutil.Wait(t, b.Got, "the request")
	err := s.app.Apply(snapshot(p, rooms(endpointOf(testutil.Box(t, "other")))))
	close(let)
	if err != nil {
		t.Fatal(err)
	}
	if err := testutil.Wait(t, over, "the stream's end"); err == nil {
		t.Error("the client takes a part for the whole")
	}
}
