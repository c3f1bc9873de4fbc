package extproc

import (
	"context"
	"errors"
	"net/http"

	"yokestall/internal/engine"
	"yokestall/internal/fairshare"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// forward sends the request to an endpoint and returns the response to the caller.
func (p *processingStream) forward() error {
	p.server.Stats.Forwarded.Add(1)
	out := p.upstreamRequest()
	ctx, cancel := context.WithCancel(p.rpc.Context())
	defer cancel()
	switch delivery := p.state.BodyDelivery(p.server.AllowModeOverride); delivery {
	case NoBody:
	case BufferedBody, OverrideBodyMode:
		if handled, err := p.receiveBody(out, delivery); handled || err != nil {
			return err
		}
	case StreamedBody:
		if !p.reserveBuffer(uploadReplayBytes) {
			return p.sendUnavailable(p.destination.MaxRetryAfter)
		}
		stop := p.receiveUpload(out, cancel)
		defer stop()
	case BypassingBody:
		return p.sendInvalid(&ingress.Rejection{
			Status: http.StatusNotImplemented,
			Message: "the route carries requests out: " +
				"the caller has to send their bodies (request_body_mode), or heed mode_override",
		})
	}
	a, handled, err := p.admit(out.Body, out.Upload == nil)
	if handled || err != nil {
		return err
	}
	r := p.engineRequest(out)
	r.ClientDisconnected = func() bool { return ctx.Err() != nil }
	answer, err := p.destination.Cluster.Do(ctx, r)
	if answer.Sent {
		p.cost = fairshare.Forwarded
	}
	if err != nil {
		return p.endUnanswered(a, err)
	}
	return p.sendAnswer(a, answer)
}

// upstreamRequest returns the request to send to an endpoint, without its body.
func (p *processingStream) upstreamRequest() *h1client.Request {
	r := p.request
	out := &h1client.Request{
		Method:          r.Method,
		Target:          r.RequestURI,
		Host:            r.Host,
		Limits:          p.destination.StreamLimits,
		AcceptsTrailers: r.Header.Get("Te") == "trailers",
		Header:          h1client.EndToEndHeader(r.Header.Clone()),
	}
	if p.destination.RequestEdits != nil {
		p.destination.RequestEdits.Apply(out.Header)
	}
	out.Header["X-Request-Id"] = []string{p.attributes.ID}
	return out
}

// engineRequest returns the request for the engine, with payload as the data that its attempts send.
func (p *processingStream) engineRequest(payload any) *engine.Request {
	return &engine.Request{
		Class:         p.destination.Class,
		Tenant:        p.attributes.Tenant,
		WorkHint:      p.attributes.WorkHint,
		Deadline:      p.deadline,
		MaxAttempts:   p.destination.MaxAttempts,
		PerTryTimeout: p.destination.PerTryTimeout,
		Payload:       payload,
	}
}

// endUnanswered ends a request for which the engine returned an error: the caller disconnected, or the cluster was
// removed before the request ran. Only in the second case the caller gets an answer (503).
func (p *processingStream) endUnanswered(a admission, err error) error {
	if errors.Is(err, engine.ErrRetired) && p.rpc.Context().Err() == nil {
		p.server.complete(a, idempotency.Rejected, nil, p.destination.MaxRetryAfter)
		return p.sendUnavailable(p.destination.MaxRetryAfter)
	}
	p.server.complete(a, idempotency.Indeterminate, nil, 0)
	p.server.Stats.Disconnected.Add(1)
	return context.Canceled
}
