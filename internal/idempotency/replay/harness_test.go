package replay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/upstream/h1client"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stubCluster is a cluster that answers requests by a function of the test.
type stubCluster struct {
	runs atomic.Int64                                              // requests received
	run  func(ctx context.Context, n int64) (engine.Answer, error) // n counts the requests from 1
}

// Do implements ingress.Handler.
func (s *stubCluster) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	return s.run(ctx, s.runs.Add(1))
}

// servedAnswer returns an answer with the verdict Served and a text as its body.
func servedAnswer(text string) engine.Answer {
	answer := &h1client.Answer{Status: http.StatusOK, Header: http.Header{"X-Of": {text}}, Body: []byte(text)}
	return engine.Answer{Verdict: engine.Served, Value: answer}
}

// testWindow is the length of the deduplication window.
const testWindow = 6 * time.Second

// keyedRequest returns a request with an idempotency key and a deadline in one second.
func keyedRequest(clock engine.Clock, key, body string) *engine.Request {
	return &engine.Request{Deadline: clock.Now() + time.Second, Payload: &h1client.Request{
		Method: "POST", Target: "/push", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte(body),
	}}
}

// limits returns limits of a store that no test of this package reaches.
func limits() idempotency.Limits { return idempotency.Limits{Entries: 100, Bytes: 1 << 20, Joiners: 8} }
