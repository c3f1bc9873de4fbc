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

// stub runs requests as the test says.
type stub struct {
	runs atomic.Int64
	run  func(ctx context.Context, n int64) (engine.Answer, error)
}

// Do implements ingress.Handler.
func (s *stub) Do(ctx context.Context, _ *engine.Request) (engine.Answer, error) {
	return s.run(ctx, s.runs.Add(1))
}

// served is an answer with a text.
func served(text string) engine.Answer {
	answer := &h1client.Answer{Status: http.StatusOK, Header: http.Header{"X-Of": {text}}, Body: []byte(text)}
	return engine.Answer{Verdict: engine.Served, Value: answer}
}

// window is the time for which a key is remembered.
const window = 6 * time.Second

// keyed is a request with an idempotency key and a deadline of a second.
func keyed(clock engine.Clock, key, body string) *engine.Request {
	return &engine.Request{Deadline: clock.Now() + time.Second, Payload: &h1client.Request{
		Method: "POST", Target: "/push", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte(body),
	}}
}

// limits are limits that no test but those of the store reaches.
func limits() idempotency.Limits { return idempotency.Limits{Entries: 100, Bytes: 1 << 20, Joiners: 8} }
