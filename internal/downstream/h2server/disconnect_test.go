package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"net/http"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// pendingCluster is a router and its cluster, which answers no request before its context ends.
type pendingCluster struct{ received, ended chan struct{} }

func (h *pendingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: h, Deadline: time.Hour, MaxAttempts: 1}, nil
}

func (h *pendingCluster) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	h.received <- struct{}{}
	<-ctx.Done()
	h.ended <- struct{}{}
	return engine.Answer{}, engine.ErrClientDisconnected
}

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
