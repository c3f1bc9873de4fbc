package extproc

import (
	"net/http"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"

	"yokestall/internal/ingress"
)

// Values of ImmediateResponse.details, which name the origin of, or the reason for, the final answer.
const (
	detailsForwarded   = "yokestall_carried"  // the response of an endpoint
	detailsReplayed    = "yokestall_replayed" // the response to an earlier request with the same key or id
	detailsUnavailable = "yokestall_refused"  // the request has not run
	detailsFailed      = "yokestall_failed"   // the request may have run
	detailsRejected    = "yokestall_rejected" // the request is invalid, is redirected or conflicts with another one
)

// immediateResponse returns a final answer that the caller sends to its client in place of an endpoint's response.
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

// sendInvalid sends the final answer that a Rejection describes: the request is invalid, is redirected, conflicts with
// another one, or can't be handled by its route.
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

// sendUnavailable answers a request that has not run with 503, so that the client may send it again. If retryAfter is
// not 0, the answer has a Retry-After field.
func (p *processingStream) sendUnavailable(retryAfter time.Duration) error {
	p.server.Stats.Rejected.Add(1)
	fields := http.Header{}
	if retryAfter > 0 {
		fields.Set("Retry-After", ingress.FormatRetryAfter(retryAfter))
	}
	return p.send(immediateResponse(http.StatusServiceUnavailable, fields, nil, detailsUnavailable))
}

// sendFailure answers a request that may have run with 502.
func (p *processingStream) sendFailure() error {
	p.server.Stats.Failed.Add(1)
	return p.send(immediateResponse(http.StatusBadGateway, nil, nil, detailsFailed))
}

// sendConflict answers a request that may not run because of another request with the same key or id, or because it was
// already answered.
func (p *processingStream) sendConflict(status int, text string) error {
	p.server.Stats.Duplicates.Add(1)
	return p.sendInvalid(&ingress.Rejection{Status: status, Message: text})
}
