package h2server_test

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over the connection of a client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/ingress"
)

// rejectingCluster is a router and its only cluster, which rejects all requests without an attempt.
type rejectingCluster struct{}

// Route implements ingress.Router.
func (c rejectingCluster) Route(*http.Request) (ingress.Destination, error) {
	return ingress.Destination{Cluster: c, Deadline: time.Hour, MaxAttempts: 1}, nil
}

// Do implements ingress.Handler.
func (rejectingCluster) Do(context.Context, *engine.Request) (engine.Answer, error) {
	return engine.Answer{Verdict: engine.Rejected}, nil
}

// Guards against a client that takes the server from others by the streams of one HTTP/2 connection, whoever answers them: it
// gets 100 answers at once and 100 a second, or as many as it has streams in each quarter of a second. Another client's requests
// are answered at once.
func TestStreamsOfOneConnectionKeepTheirShare(t *testing.T) {
	const streams, duration = 200, time.Second
	for _, path := range []string{"/health/ready", "/x"} {
		t.Run(path, func(t *testing.T) {
			addr := serve(t, rejectingCluster{}, engine.NewClock())
			client, other := newTestClient(), newTestClient()
			ctx, cancel := context.WithTimeout(t.Context(), duration)
			defer cancel()
			var answers atomic.Int64
			var running sync.WaitGroup
			for i := range streams {
				running.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						if get(ctx, client, addr, path, fmt.Sprint(i, "-", n)) == nil {
							answers.Add(1)
						}
					}
				})
			}
			for n := 0; ctx.Err() == nil; n++ {
				start := time.Now()
				if err := get(t.Context(), other, addr, path, fmt.Sprint("other-", n)); err != nil {
					t.Error(err)
				}
				if took := time.Since(start); took > 200*time.Millisecond {
					t.Errorf("another client's request was answered after %v", took)
				}
				time.Sleep(50 * time.Millisecond)
			}
			running.Wait()
			if most := int64(100 + 100 + 5*streams); answers.Load() > most {
				t.Errorf("%d answers on one connection in %v, want at most %d", answers.Load(), duration, most)
			}
			client.CloseIdleConnections()
			other.CloseIdleConnections()
		})
	}
}

// get sends a request and reads its answer.
func get(ctx context.Context, client *testClient, addr, path, id string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	r.Header.Set("X-Request-Id", id)
	resp, err := client.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}
