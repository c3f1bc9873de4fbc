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

// programWithStreamSetting returns program with an additional setting, for example a stream timeout, of its first class.
func programWithStreamSetting(setting string) string {
	return strings.Replace(program, "effect = \"safe\"\n", "effect = \"safe\"\n"+setting, 1)
}

// streamCase is a class with or without a stream timeout, and an update that is applied while a stream is open.
type streamCase struct {
	name    string
	setting string          // setting of the class; empty: none
	update  *cluster.Config // cluster to apply while the stream is open; nil: none
	wantEnd bool            // whether the stream must end
}

// A stream must end by the timeouts of its class, as an incomplete response. A stream without a timeout must stay open, and
// so must a stream that only has a drain timeout while its endpoint does not drain. A drain that is applied after the head
// of a stream has arrived and before the stream is in the table must end the stream too.
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
		{name: "whole", setting: "stream = \"50ms\"\n", wantEnd: true},
		{name: "progress", setting: "progress = \"50ms\"\n", wantEnd: true},
		{name: "drains", setting: drainBound, update: roomsCluster(draining(server), other), wantEnd: true},
		{name: "is gone", setting: drainBound, update: roomsCluster(other), wantEnd: true},
		{name: "another drains", setting: drainBound, update: roomsCluster(server, draining(other))},
		{name: "no bound", update: roomsCluster(other)},
	} {
		t.Run(tc.name, func(t *testing.T) { checkStreamEnd(t, tc, server, started) })
	}
}

// checkStreamEnd opens a stream from a server, applies the update of the case and checks whether the stream ends. started
// receives a value once the stream is open.
func checkStreamEnd(t *testing.T, tc streamCase, server cluster.Endpoint, started <-chan struct{}) {
	p := parse(t, programWithStreamSetting(tc.setting))
	s := serve(t, newConfiguration(p, roomsCluster(server)))
	resp, err := s.client.Get(s.url + "/events")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	if line, err := in.ReadString('\n'); line != "event\n" {
		t.Fatalf("first line %q, error %v; want the event", line, err)
	}
	testutil.Wait(t, started, "the stream to open")
	if tc.update != nil {
		if err := s.app.Apply(newConfiguration(p, tc.update)); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan error, 1)
	go func() { _, err := in.ReadByte(); ended <- err }()
	if tc.wantEnd {
		if err := testutil.Wait(t, ended, "the stream to end"); err == nil || err == io.EOF {
			t.Errorf("the stream ended with error %v, want the error of an incomplete response", err)
		}
		return
	}
	for range 20 { // at least 100 ms, longer than the timeout of any case
		if status, _, _ := s.get("/quick", ""); status != 200 {
			t.Errorf("request while the stream is open: status %d, want 200", status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Errorf("the stream ended with error %v, want it open", err)
	default:
	}
}

// A drain is applied while an attempt is in flight, before the head of its answer. The stream of that answer must end by
// the drain timeout like a stream that was already open.
func TestDrainBeforeTheHead(t *testing.T) {
	release := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	p := parse(t, programWithStreamSetting("stream_drain = \"50ms\"\n"))
	s := serve(t, newConfiguration(p, roomsCluster(cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1})))
	ended := make(chan error, 1)
	go func() {
		resp, err := s.client.Get(s.url + "/events")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		ended <- err
	}()
	testutil.Wait(t, b.Requests, "the request to reach its server")
	err := s.app.Apply(newConfiguration(p, roomsCluster(endpointOf(testutil.StartAppServer(t, "other")))))
	close(release)
	if err != nil {
		t.Fatal(err)
	}
	if err := testutil.Wait(t, ended, "the stream to end"); err == nil {
		t.Error("the stream ended without an error, want the error of an incomplete response")
	}
}
