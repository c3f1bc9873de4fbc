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

// The constants below set the load of TestQueuedStreamsDisconnectInBursts.
const (
	bursts          = 8
	streamsPerBurst = 100 // all on one connection
	resetsEvery     = 2   // one of resetsEvery bursts ends with RST_STREAM, the others with the end of the connection
	// disconnectBound is the time after a client's disconnect from which no attempt may begin for the client.
	disconnectBound = 100 * time.Millisecond
)

// Hundreds of streams are ended in bursts, by RST_STREAM and by the end of their connection, while their requests are
// queued for an endpoint that does not answer. Once it answers again, no request may be forwarded 0.1 s or more after
// its client's disconnect.
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
	for burst := range bursts {
		client := newTestClient()
		ctx, reset := context.WithCancel(t.Context())
		var ids []string
		for i := range streamsPerBurst {
			ids = append(ids, fmt.Sprint(burst, "-", i))
			client.send(ctx, addr, ids[i])
		}
		testutil.Until(t, "all requests of the burst to arrive", func() bool {
			return router.requests.Load() == int64(burst+1)*streamsPerBurst
		})
		if burst%resetsEvery == 0 {
			b.Disconnect(ids, reset)
		} else {
			b.Disconnect(ids, func() { client.conn.Close() })
		}
		if burst%4 < 2 {
			time.Sleep(disconnectBound + lateness()) // the time in which attempts may still begin
		}
		b.Release()
		reset()
		client.open.Wait()
		client.CloseIdleConnections()
	}
	bound := disconnectBound + lateness()
	arrived, disconnected, late := b.Counts(bound)
	if late > 0 || disconnected != bursts*streamsPerBurst || arrived == disconnected {
		t.Errorf("%d of %d requests, want 0 of %d, were forwarded more than %v after their clients had disconnected; "+
			"%d were forwarded in all, want fewer than %d",
			late, disconnected, bursts*streamsPerBurst, bound, arrived, disconnected)
	}
	t.Logf("%d streams, %d forwarded, %d of them later than %v after the disconnect", disconnected, arrived, late, bound)
}

// countingRouter is a router to one cluster. It counts the requests.
type countingRouter struct {
	ingress.Handler
	requests atomic.Int64
}

// Route implements ingress.Router.
func (r *countingRouter) Route(*http.Request) (ingress.Destination, error) {
	r.requests.Add(1)
	return ingress.Destination{Cluster: r.Handler, Deadline: time.Hour}, nil
}
