package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"net/http"
	"testing"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
)

// Over HTTP/2 a client that resets its stream, or closes its connection, ends its request: the frames of a connection
// are read whatever its streams do.
func TestDisconnectDuringRequest(t *testing.T) {
	for _, closes := range []bool{false, true} {
		h := &pendingCluster{make(chan struct{}, 1), make(chan struct{}, 1)}
		addr := serve(t, h, engine.NewClock())
		p := newPeer()
		ctx, reset := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if resp, err := p.RoundTrip(r); err == nil {
				resp.Body.Close()
				t.Error("an answer")
			}
		}()
		testutil.Wait(t, h.received, "the request")
		if closes {
			p.conn.Close()
		} else {
			reset()
		}
		testutil.Wait(t, h.ended, "the request to be given up")
		testutil.Wait(t, ended, "the client")
		reset()
		p.CloseIdleConnections()
	}
}

// The check before a send detects that the client of an HTTP/2 stream has reset the stream or closed its connection,
// before the request's context ends.
func TestStreamDisconnectedBeforeSend(t *testing.T) {
	t.Parallel()
	for _, closes := range []bool{false, true} {
		c := &blockingCluster{make(chan *engine.Request, 1), make(chan struct{})}
		addr := serve(t, c, engine.NewClock())
		p := newPeer()
		ctx, reset := context.WithCancel(t.Context())
		p.send(ctx, addr, "i")
		r := testutil.Wait(t, c.received, "the request")
		if r.ClientDisconnected == nil {
			t.Fatal("the check is missing")
		}
		if r.ClientDisconnected() {
			t.Error("a client that waits has left")
		}
		if closes {
			p.conn.Close()
		} else {
			reset()
		}
		testutil.Until(t, "a send to be barred", r.ClientDisconnected)
		close(c.release)
		reset()
		p.open.Wait()
		p.CloseIdleConnections()
	}
}
