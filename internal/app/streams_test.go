package app

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/testutil"
)

// streamText returns program with a setting of streams for its first class.
func streamText(setting string) string {
	return strings.Replace(program, "effect = \"safe\"\n", "effect = \"safe\"\n"+setting, 1)
}

// streamCase is a class with a bound on streams, or without one, and what happens while a stream is open.
type streamCase struct {
	name    string
	setting string          // of the class
	update  *cluster.Config // nil: none
	ends    bool            // whether the stream does
}

// Streams of a class that has bounds end by them, in a way that their clients can tell; others and
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
	server := cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1}
	other := endpointOf(testutil.StartAppServer(t, "other"))
	draining := func(e cluster.Endpoint) cluster.Endpoint {
		e.Health = cluster.Draining
		return e
	}
	const drainBound = "stream_drain = \"50ms\"\n"
	for _, tc := range []streamCase{
		{name: "whole", setting: "stream = \"50ms\"\n", ends: true},
		{name: "progress", setting: "progress = \"50ms\"\n", ends: true},
		{name: "drains", setting: drainBound, update: rooms(draining(server), other), ends: true},
		{name: "is gone", setting: drainBound, update: rooms(other), ends: true},
		{name: "another drains", setting: drainBound, update: rooms(server, draining(other))},
		{name: "no bound", update: rooms(other)},
	} {
		t.Run(tc.name, func(t *testing.T) { checkStreamEnd(t, tc, server, started) })
	}
}

// checkStreamEnd opens a stream at a server and checks whether it ends. started gets a token once the stream is open.
func checkStreamEnd(t *testing.T, tc streamCase, server cluster.Endpoint, started <-chan struct{}) {
	p := parse(t, streamText(tc.setting))
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
	if tc.update != nil {
		if err := s.app.Apply(snapshot(p, tc.update)); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan error, 1)
	go func() { _, err := in.ReadByte(); ended <- err }()
	if tc.ends {
		if err := testutil.Wait(t, ended, "the stream's end"); err == nil || err == io.EOF {
			t.Errorf("the client takes a part for the whole: %v", err)
		}
		return
	}
	for range 20 { // longer than any bound of a case
		if status, _, _ := s.get("/quick", ""); status != 200 {
			t.Errorf("status %d", status)
		}
		time.Sleep(5 * time.Millisecond) // a pace
	}
	select {
	case err := <-ended:
		t.Errorf("it ended: %v", err)
	default:
	}
}

// A drain is applied while the attempt is in flight: the stream that its answer becomes ends by the same bound as one
// that was open.
func TestDrainBeforeTheHead(t *testing.T) {
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	p := parse(t, streamText("stream_drain = \"50ms\"\n"))
	s := serve(t, snapshot(p, rooms(cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1})))
	ended := make(chan error, 1)
	go func() {
		resp, err := s.client.Get(s.url + "/events")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		ended <- err
	}()
	testutil.Wait(t, b.Requests, "the request")
	err := s.app.Apply(snapshot(p, rooms(endpointOf(testutil.StartAppServer(t, "other")))))
	close(release)
	if err != nil {
		t.Fatal(err)
	}
	if err := testutil.Wait(t, ended, "the stream's end"); err == nil {
		t.Error("the client takes a part for the whole")
	}
}
