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

// Exchange implements engine.Exchanger. payload is an *h1client.Request, and the result's Answer is an *h1client.Answer or
// nil. A request with an Upgrade is never sent, since HTTP/2 does not support it (RFC 9113, 8.6).
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
	// The context must not end with the attempt, since the answer's stream may outlive the attempt.
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
	if !call.ClearOnStop() { // the call was stopped during the attempt
		if a, ok := result.Answer.(*h1client.Answer); ok {
			a.Close()
		}
		return engine.Result{Status: policy.Cancelled}
	}
	return result
}

// failureStatus returns the status of an attempt whose stream ended with err before a complete answer. The status says
// whether the request may have run: a request that certainly has not may be sent again whatever its class. That holds for a
// stream that the endpoint refused (REFUSED_STREAM, RFC 9113, 8.7) and for a stream beyond the last one that a GOAWAY frame
// names (RFC 9113, 6.8). Any other request may have run.
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
