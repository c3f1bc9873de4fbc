package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"net/http"
	"testing"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
)

// A client that resets its HTTP/2 stream or closes its connection ends its request: the frames of a connection are read
// independently of its streams.
func TestDisconnectDuringRequest(t *testing.T) {
	for _, closes := range []bool{false, true} {
		cluster := &pendingCluster{make(chan struct{}, 1), make(chan struct{}, 1)}
		addr := serve(t, cluster, engine.NewClock())
		client := newTestClient()
		ctx, reset := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if resp, err := client.RoundTrip(r); err == nil {
				resp.Body.Close()
				t.Error("the request was answered, want an error")
			}
		}()
		testutil.Wait(t, cluster.received, "the request")
		if closes {
			client.conn.Close()
		} else {
			reset()
		}
		testutil.Wait(t, cluster.ended, "the request to be abandoned")
		testutil.Wait(t, ended, "the client's RoundTrip to return")
		reset()
		client.CloseIdleConnections()
	}
}

// The check before a send detects that the client of an HTTP/2 stream has reset the stream or closed its connection,
// before the request's context ends.
func TestStreamDisconnectedBeforeSend(t *testing.T) {
	t.Parallel()
	for _, closes := range []bool{false, true} {
		cluster := &blockingCluster{make(chan *engine.Request, 1), make(chan struct{})}
		addr := serve(t, cluster, engine.NewClock())
		client := newTestClient()
		ctx, reset := context.WithCancel(t.Context())
		client.send(ctx, addr, "i")
		r := testutil.Wait(t, cluster.received, "the request")
		if r.ClientDisconnected == nil {
			t.Fatal("ClientDisconnected is nil")
		}
		if r.ClientDisconnected() {
			t.Error("ClientDisconnected reports a disconnect of a client that is still connected")
		}
		if closes {
			client.conn.Close()
		} else {
			reset()
		}
		testutil.Until(t, "ClientDisconnected to report the disconnect", r.ClientDisconnected)
		close(cluster.release)
		reset()
		client.open.Wait()
		client.CloseIdleConnections()
	}
}
