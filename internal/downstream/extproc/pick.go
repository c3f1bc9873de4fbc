package extproc

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"yokestall/internal/engine"
	"yokestall/internal/fairshare"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/policy"
)

const (
	// EndpointHeader is the request header field that names the picked endpoint to the caller, as host:port. The member
	// of the same name in the dynamic metadata of MetadataNamespace has the same value.
	EndpointHeader = "x-gateway-destination-endpoint"
	// MetadataNamespace is the namespace of the dynamic metadata that names the picked endpoint.
	MetadataNamespace = "envoy.lb"
	// attemptHeader is the request header field with the number of the caller's attempt, counted from 1.
	attemptHeader = "X-Envoy-Attempt-Count"
)

// pick names an endpoint to the caller and receives the attempt's outcome.
func (p *processingStream) pick() error {
	r, handled, err := p.findOrBeginPick()
	if handled || err != nil {
		return err
	}
	e, err := p.awaitEndpoint(r)
	if e == nil {
		return err
	}
	p.server.Stats.EndpointsPicked.Add(1)
	p.cost = fairshare.Forwarded
	if err := p.send(p.endpointReply(e.address)); err != nil {
		r.reportOutcome(e, policy.Cancelled) // the caller may have received the reply and sent the attempt
		return err
	}
	return p.receiveOutcome(r, e)
}

// findOrBeginPick returns the request that the stream belongs to. If no request with the stream's tenant and id is in
// flight, the stream is the first one of a new request. handled reports that the stream was answered instead.
func (p *processingStream) findOrBeginPick() (r *pickRequest, handled bool, err error) {
	key := pickKey{p.attributes.Tenant, p.attributes.ID}
	attempt, _ := strconv.Atoi(ingress.SingleValue(p.request.Header[attemptHeader]))
	s := p.server
	s.mu.Lock()
	r = s.picks[key]
	added := r != nil && r.addStream(attempt)
	s.mu.Unlock()
	switch {
	case r == nil:
		return p.beginPick(key, attempt > 0)
	case !added:
		return nil, true, p.sendConflict(http.StatusConflict, "a request with this id is open")
	}
	return r, false, nil
}

// beginPick begins a request whose first stream this is. reportsRetries says that the caller counts its attempts
// (attemptHeader) and so opens a stream for each of its retries.
func (p *processingStream) beginPick(key pickKey, reportsRetries bool) (r *pickRequest, handled bool, err error) {
	a, handled, err := p.admit(nil, false)
	if handled || err != nil {
		return nil, true, err
	}
	s := p.server
	s.Stats.Picked.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	r = &pickRequest{
		server:           s,
		key:              key,
		admission:        a,
		cancel:           cancel,
		reportsRetries:   reportsRetries,
		repeatIsHarmless: p.destination.RepeatIsHarmless,
		endpoints:        make(chan *pickedEndpoint),
		done:             make(chan struct{}),
		waitingStreams:   1,
	}
	s.mu.Lock()
	if s.picks[key] != nil { // another stream has begun a request with this key since findOrBeginPick
		s.mu.Unlock()
		cancel()
		s.complete(a, idempotency.Rejected, nil, 0)
		return nil, true, p.sendConflict(http.StatusConflict, "a request with this id is open")
	}
	s.picks[key] = r
	s.mu.Unlock()
	go r.run(ctx, p.destination.Cluster, p.engineRequest(r))
	return r, false, nil
}

// awaitEndpoint waits for the endpoint of an attempt. It returns a nil endpoint if the final answer was sent instead or
// the caller disconnected.
func (p *processingStream) awaitEndpoint(r *pickRequest) (*pickedEndpoint, error) {
	for {
		select {
		case e := <-r.endpoints:
			if p.beginAttempt(r, e) {
				return e, nil
			}
		case <-r.done:
			r.removeStream()
			return nil, p.sendPickAnswer(r)
		case <-p.rpc.Context().Done():
			if abandoned := r.removeStream(); abandoned {
				p.server.Stats.Disconnected.Add(1)
				r.cancel()
			}
			return nil, p.rpc.Context().Err()
		}
	}
}

// beginAttempt reports whether the endpoint may be named to the caller. If it returns false, the attempt is never sent.
// It returns false
//
//   - once the endpoint drains, because the caller's send comes after this call and would go to a draining endpoint,
//   - after the request's deadline, which the engine may not have noticed yet, and
//   - if the caller has disconnected.
func (p *processingStream) beginAttempt(r *pickRequest, e *pickedEndpoint) bool {
	r.mu.Lock()
	remaining := p.deadline - p.server.Clock.Now()
	if remaining <= 0 || p.rpc.Context().Err() != nil {
		e.call.Revoke()
	}
	if !e.call.BeginSendUnlessDraining(p.deadline) { // the caller may send until the deadline
		r.mu.Unlock()
		e.outcome <- policy.NeverSent
		return false
	}
	r.namedEndpoints++
	r.attemptPending = true
	r.waitingStreams--
	r.mu.Unlock()
	if p.server.OnEndpointPicked != nil {
		p.server.OnEndpointPicked(p.attributes.ID, e.address, remaining)
	}
	return true
}

// sendPickAnswer sends the final answer of the request to a stream that waited for an endpoint.
func (p *processingStream) sendPickAnswer(r *pickRequest) error {
	switch {
	case errors.Is(r.err, engine.ErrRetired):
		return p.sendUnavailable(p.destination.MaxRetryAfter)
	case r.err == nil && r.answer.Verdict == engine.Rejected:
		return p.sendUnavailable(r.answer.RetryAfter)
	case r.err == nil && r.answer.Verdict == engine.Served:
		return p.sendConflict(http.StatusConflict, "the request was answered")
	}
	return p.sendFailure()
}

// endpointReply returns the reply that names an endpoint. Its header field replaces any of that name from the client.
func (p *processingStream) endpointReply(address string) *pb.ProcessingResponse {
	r := p.state.ContinueReply(p.message, RequestHeaders)
	r.GetRequestHeaders().Response.HeaderMutation = p.endpointMutation(address)
	r.DynamicMetadata = &structpb.Struct{Fields: map[string]*structpb.Value{
		MetadataNamespace: structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			EndpointHeader: structpb.NewStringValue(address),
		}}),
	}}
	switch p.state.RequestMode {
	case modeNone, modeUnknown, modeDuplex, modeGRPC:
	default:
		if p.server.AllowModeOverride { // the processor needs no bodies for a pick
			r.ModeOverride = &filterv3.ProcessingMode{
				RequestBodyMode:    modeNone,
				ResponseBodyMode:   modeNone,
				ResponseHeaderMode: filterv3.ProcessingMode_SEND,
			}
		}
	}
	return r
}

// endpointMutation returns the mutation of the request headers that names an endpoint, applies the route's header edits
// and adds x-request-id if the request has none.
func (p *processingStream) endpointMutation(address string) *pb.HeaderMutation {
	before, mutation := p.request.Header, &pb.HeaderMutation{}
	if p.destination.RequestEdits != nil {
		after := before.Clone()
		p.destination.RequestEdits.Apply(after)
		mutation = headerMutation(before, after)
	}
	mutation.SetHeaders = append(mutation.SetHeaders, &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: EndpointHeader, RawValue: []byte(address)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	})
	if len(before["X-Request-Id"]) == 0 {
		mutation.SetHeaders = append(mutation.SetHeaders, &corev3.HeaderValueOption{
			Header: &corev3.HeaderValue{Key: "x-request-id", RawValue: []byte(p.attributes.ID)},
		})
	}
	return mutation
}
