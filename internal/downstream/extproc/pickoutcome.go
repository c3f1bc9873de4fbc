package extproc

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

// servedEndpointKey is the member of the dynamic metadata in which a caller reports the endpoint that it used.
const servedEndpointKey = "x-gateway-destination-endpoint-served"

// receiveOutcome replies to each message that follows the request headers so that the exchange continues, and reports
// the attempt's outcome as soon as it is known.
func (p *processingStream) receiveOutcome(r *pickRequest, e *pickedEndpoint) error {
	for {
		phase, _, err := p.recv()
		if err != nil {
			r.reportOutcome(e, outcomeOfStreamEnd(err))
			return err
		}
		reply := p.state.ContinueReply(p.message, phase)
		switch phase {
		case NoPhase:
			continue
		case ResponseHeaders:
			response, err := p.parseResponse()
			if err != nil {
				r.reportOutcome(e, policy.Cancelled)
				return err
			}
			status := p.outcome(e, response)
			if response.Refuses() && !r.refusalAllowed(status) {
				return p.replaceRefusal(r, e, status)
			}
			r.reportOutcome(e, status)
			p.applyResponseEdits(reply, response)
		case ResponseBody, ResponseTrailers:
			r.reportOutcome(e, policy.OK) // no effect unless the headers were skipped (response_header_mode SKIP)
		}
		if err := p.send(reply); err != nil {
			return err
		}
	}
}

// outcomeOfStreamEnd returns the outcome of an attempt whose stream ended without a response. Such an attempt may have
// run. If the caller closed the stream in order (io.EOF), the attempt counts as a failure of the endpoint; after any
// other error it doesn't count for or against the endpoint.
func outcomeOfStreamEnd(err error) policy.Status {
	if errors.Is(err, io.EOF) {
		return policy.Reset
	}
	return policy.Cancelled
}

// refusalAllowed reports whether the client may get a response that refuses the request (h1client.Answer.Refuses), from
// an attempt with this outcome. It may if a repeat is harmless, or if no attempt may have run. It must be called before
// the outcome is reported.
func (r *pickRequest) refusalAllowed(status policy.Status) bool {
	if r.repeatIsHarmless {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayHaveRun { // at an earlier attempt
		return false
	}
	return status == policy.OK || status.NeverRan()
}

// replaceRefusal reports the attempt's outcome and answers the request with 502 in place of the response. A refusal
// that would count as an answer (status 429) counts neither for nor against the endpoint, since the request was not
// served.
func (p *processingStream) replaceRefusal(r *pickRequest, e *pickedEndpoint, status policy.Status) error {
	if status == policy.OK {
		status = policy.Cancelled
	}
	r.reportOutcome(e, status)
	return p.sendFailure()
}

// parseResponse returns the status and the header fields of the message's response headers.
func (p *processingStream) parseResponse() (*h1client.Answer, error) {
	h, err := parseHeaders(p.message.GetResponseHeaders().GetHeaders(), p.server.MaxHeaderBytes)
	if err != nil {
		return nil, err
	}
	code, err := strconv.Atoi(h.status)
	if err != nil || code < 100 || code > 599 {
		return nil, errors.New("response_headers: :status is missing or malformed, want a number from 100 to 599")
	}
	return &h1client.Answer{Status: code, Header: h.fields}, nil
}

// applyResponseEdits adds the route's response header edits to the reply to the response headers.
func (p *processingStream) applyResponseEdits(reply *pb.ProcessingResponse, response *h1client.Answer) {
	if p.destination.ResponseEdits == nil {
		return
	}
	after := response.Header.Clone()
	p.destination.ResponseEdits.Apply(after)
	reply.GetResponseHeaders().Response.HeaderMutation = headerMutation(response.Header, after)
}

// outcome returns the attempt's outcome, derived from the response headers. If the caller reports that it used another
// endpoint than the picked one, the outcome doesn't count for or against the picked endpoint.
func (p *processingStream) outcome(e *pickedEndpoint, response *h1client.Answer) policy.Status {
	used, details := reportedUpstream(p.message)
	if used != "" && used != e.address {
		p.server.Stats.EndpointMismatches.Add(1)
		p.server.Log.Warn("caller used another endpoint than the selected one",
			"given", e.address, "sent", used, "request", p.attributes.ID)
		return policy.Cancelled // not an outcome of the picked endpoint
	}
	return Outcome(response.Status, response.Header, details)
}

// reportedUpstream returns the address of the endpoint that the caller used and Envoy's response code details. Each is
// "" unless the caller is configured to report it (request_attributes, response_attributes, or metadata of
// MetadataNamespace).
func reportedUpstream(msg *pb.ProcessingRequest) (address, details string) {
	for _, attributes := range msg.GetAttributes() {
		fields := attributes.GetFields()
		if v := fields["upstream.address"].GetStringValue(); v != "" {
			address = v
		}
		if v := fields["response.code_details"].GetStringValue(); v != "" {
			details = v
		}
	}
	if m := msg.GetMetadataContext().GetFilterMetadata()[MetadataNamespace]; m != nil {
		if v := m.GetFields()[servedEndpointKey].GetStringValue(); v != "" {
			address = v
		}
	}
	return address, details
}

// Outcome returns the outcome of an attempt that the caller sent, derived from the response's status code and headers
// and from Envoy's response.code_details. If the caller doesn't report them, details is "", and a 503 that the caller
// generated itself can't be told from a 503 of the endpoint, after which the request may have run.
//
// The details that determine the outcome, and whether the attempt may have run:
//
//	no connection         upstream_reset_before_response_started{connection_failure...},
//	                      the same with connection_timeout or overflow                   never sent
//	reset                 upstream_reset_before_response_started{...}                    may have run
//	the caller's timeout  response_timeout, upstream_per_try_timeout,
//	                      max_duration_timeout                                           may have run
//	no endpoint           no_healthy_upstream, cluster_not_found, maintenance_mode,
//	                      ...overflow                                                    never sent
func Outcome(code int, h http.Header, details string) policy.Status {
	switch {
	case isConnectFailure(details):
		return policy.ConnectFailed
	case strings.HasPrefix(details, "upstream_reset"):
		return policy.Reset
	case isTimeout(details):
		return policy.Timeout
	case isNeverSent(details):
		return policy.ConnectFailed
	case code >= 500:
		return h1client.FailureStatus(&http.Response{StatusCode: code, Header: h})
	}
	return policy.OK
}

// isConnectFailure reports whether the caller failed to get a connection to the endpoint.
func isConnectFailure(details string) bool {
	return strings.HasPrefix(details, "upstream_reset_before_response_started{") &&
		(strings.Contains(details, "connection_failure") ||
			strings.Contains(details, "connection_timeout") ||
			strings.Contains(details, "overflow"))
}

// isTimeout reports whether one of the caller's timeouts ended the attempt.
func isTimeout(details string) bool {
	return strings.HasSuffix(details, "response_timeout") ||
		strings.HasSuffix(details, "per_try_timeout") ||
		strings.HasSuffix(details, "max_duration_timeout")
}

// isNeverSent reports whether the caller did not send the attempt, because it had no endpoint, was in maintenance mode or
// had reached one of its limits (overflow).
func isNeverSent(details string) bool {
	switch details {
	case "no_healthy_upstream", "cluster_not_found", "maintenance_mode":
		return true
	}
	return strings.HasSuffix(details, "overflow")
}
