package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
	"yokestall/internal/engine"
	"yokestall/internal/ingress"
	"yokestall/internal/testutil"
	"yokestall/internal/testutil/enginetest"
	"yokestall/internal/upstream/h1client"
)

// Load of TestQueuedStreamsDisconnectInBursts.
const (
	waves       = 8
	burst       = 100 // streams of one connection
	resetsEvery = 2   // of so many waves one ends by RST_STREAM, the others by the end of the connection
	// disconnectBound is the time after a disconnect at which no attempt may begin for the client.
	disconnectBound = 100 * time.Millisecond
)

// Hundreds of streams are reset in bursts, by RST_STREAM and by the end of their connection, while their requests are
// queued for an endpoint that does not answer. Once it answers again, none is forwarded 0.1 s after its disconnect.
func TestQueuedStreamsDisconnectInBursts(t *testing.T) {
	t.Parallel()
	b := testutil.NewGatedBackend(t)
	clock := engine.NewClock()
	cluster, _ := enginetest.OneEndpoint(t, b.Addr(), clock, h1client.Options{
		EndpointIdleTimeout: time.Minute, ConnectTimeout: testutil.WaitTimeout, MaxConnections: 16,
	})
	router := &countingRouter{Handler: cluster}
	addr := serve(t, router, clock)
	lateness := testutil.Lateness(t)
	for wave := range waves {
		p := newPeer()
		ctx, reset := context.WithCancel(t.Context())
		var ids []string
		for i := range burst {
			ids = append(ids, fmt.Sprint(wave, "-", i))
			p.send(ctx, addr, ids[i])
		}
		testutil.Until(t, "all to be there", func() bool { return router.requests.Load() == int64(wave+1)*burst })
		if wave%resetsEvery == 0 {
			b.Disconnect(ids, reset)
		} else {
			b.Disconnect(ids, func() { p.conn.Close() })
		}
		if wave%4 < 2 {
			time.Sleep(disconnectBound + lateness()) // the time that the rule allows
		}
		b.Release()
		reset()
		p.open.Wait()
		p.CloseIdleConnections()
	}
	bound := disconnectBound + lateness()
	arrived, disconnected, late := b.Counts(bound)
	if late > 0 || disconnected != waves*burst || arrived == disconnected {
		t.Errorf("%d of %d were sent on %v after their clients had left, %d in all", late, disconnected, bound, arrived)
	}
	t.Logf("%d streams, %d had been sent on, %d later than %v", disconnected, arrived, late, bound)
}

// countingRouter is a router to one cluster, which counts the requests.
type countingRouter struct {
	ingress.Handler
	requests atomic.Int64
}

// Route implements ingress.Router.
func (r *countingRouter) Route(*http.Request) (ingress.Destination, error) {
	r.requests.Add(1)
	return ingress.Destination{Cluster: r.Handler, Deadline: time.Hour}, nil
}
