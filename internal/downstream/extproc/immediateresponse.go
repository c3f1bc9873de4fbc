package extproc

import (
	"net/http"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"

	"yokestall/internal/ingress"
)

// Values of ImmediateResponse.details, by the reason of the final answer.
const (
	detailsForwarded   = "yokestall_carried"  // a response of an endpoint
	detailsReplayed    = "yokestall_replayed" // the response to an earlier request under the same key
	detailsUnavailable = "yokestall_refused"  // the request has not run
	detailsFailed      = "yokestall_failed"   // the request may have run
	detailsRejected    = "yokestall_rejected" // the request is not valid, or conflicts with another one
)

// immediateResponse returns a final answer that the caller gives in place of an endpoint's.
func immediateResponse(status int, fields http.Header, body []byte, details string) *pb.ProcessingResponse {
	return &pb.ProcessingResponse{Response: &pb.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &pb.ImmediateResponse{
			Status:  &typev3.HttpStatus{Code: typev3.StatusCode(status)},
			Headers: &pb.HeaderMutation{SetHeaders: setHeaders(fields)},
			Body:    body,
			Details: details,
		},
	}}
}

// sendInvalid sends a final answer that depends on the request alone: it is not valid, or is redirected.
func (p *processingStream) sendInvalid(r *ingress.Rejection) error {
	fields := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if r.AllowedMethods != "" {
		fields.Set("Allow", r.AllowedMethods)
	}
	if r.Location != "" {
		fields.Set("Location", r.Location)
	}
	if r.RetryAfter > 0 {
		fields.Set("Retry-After", ingress.FormatRetryAfter(r.RetryAfter))
	}
	return p.send(immediateResponse(r.Status, fields, []byte(r.Message+"\n"), detailsRejected))
}

// sendUnavailable answers a request that has not run, so that it may be repeated; after retryAfter if that is not 0.
func (p *processingStream) sendUnavailable(retryAfter time.Duration) error {
	p.server.Stats.Rejected.Add(1)
	fields := http.Header{}
	if retryAfter > 0 {
		fields.Set("Retry-After", ingress.FormatRetryAfter(retryAfter))
	}
	return p.send(immediateResponse(http.StatusServiceUnavailable, fields, nil, detailsUnavailable))
}

// sendFailure answers a request that may have run.
func (p *processingStream) sendFailure() error {
	p.server.Stats.Failed.Add(1)
	return p.send(immediateResponse(http.StatusBadGateway, nil, nil, detailsFailed))
}

// sendConflict answers a request that may not run because of another one.
func (p *processingStream) sendConflict(status int, text string) error {
	p.server.Stats.Duplicates.Add(1)
	return p.sendInvalid(&ingress.Rejection{Status: status, Message: text})
}
