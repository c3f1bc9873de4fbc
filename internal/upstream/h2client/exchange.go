package h2client

//lint:file-ignore SA1019 golang.org/x/net/http2 gives control over each client connection that net/http does not offer

import (
	"context"
	"errors"
	"strings"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/engine"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// Exchange implements engine.Exchanger. payload is an *h1client.Request, and the result's Answer an *h1client.Answer or
// nil. An upgrade needs HTTP/1.1 and is never sent (RFC 9113, 8.6).
func (p *Pool) Exchange(
	call *engine.Call, id policy.EndpointID, payload any, remaining time.Duration,
) engine.Result {
	r := payload.(*h1client.Request)
	if r.Upgrade != "" {
		return engine.Result{Status: policy.NeverSent, Final: true}
	}
	start := time.Now()
	e, c, status := p.connect(call, id)
	if status != policy.OK {
		return engine.Result{Status: status}
	}
	// A stream outlives its attempt, and so its context.
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{pool: p, endpoint: e, conn: c, cancel: cancel}
	call.OnStop(cancel)
	req, err := p.newRequest(ctx, r, remaining-time.Since(start))
	if err != nil || !call.BeginSend() {
		s.Close()
		return engine.Result{Status: policy.NeverSent}
	}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		status := failureStatus(ctx, err, r)
		s.Close()
		return engine.Result{Status: status}
	}
	result := s.readAnswer(ctx, r, resp)
	if !call.ClearOnStop() { // stopped
		if a, ok := result.Answer.(*h1client.Answer); ok {
			a.Close()
		}
		return engine.Result{Status: policy.Cancelled}
	}
	return result
}

// failureStatus returns the status of an attempt whose stream ended with err, without a complete answer. What certainly
// has not run may be sent again whatever its class: a stream that the endpoint refused (REFUSED_STREAM, RFC 9113, 8.7),
// and one beyond the last that a GOAWAY names (6.8). All else may have run.
func failureStatus(ctx context.Context, err error, r *h1client.Request) policy.Status {
	var streamError http2.StreamError
	switch text := err.Error(); {
	case ctx.Err() != nil, r.Upload != nil && r.Upload.Err() != nil:
		return policy.Cancelled
	case errors.As(err, &streamError) && streamError.Code == http2.ErrCodeRefusedStream:
		return policy.Rejected
	case strings.Contains(text, "graceful shutdown GOAWAY"), strings.Contains(text, "client conn not usable"):
		return policy.NeverSent
	}
	return policy.Reset
}
