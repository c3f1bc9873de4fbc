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

// servedHeader is the dynamic metadata by which a caller reports the endpoint that it used.
const servedHeader = "x-gateway-destination-endpoint-served"

// receiveOutcome continues the messages that follow the request headers, and reports the attempt's outcome as soon as
// it is known.
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
			status, err := p.outcome(e)
			if err != nil {
				r.reportOutcome(e, policy.Cancelled)
				return err
			}
			r.reportOutcome(e, status)
			p.applyResponseChanges(reply)
		case ResponseBody, ResponseTrailers:
			r.reportOutcome(e, policy.OK) // the headers were not sent (response_header_mode SKIP)
		}
		if err := p.send(reply); err != nil {
			return err
		}
	}
}

// outcomeOfStreamEnd returns the outcome of an attempt whose stream ended without a response; it may have run. If the
// caller ended the stream in order, it is a failure of the endpoint; otherwise it says nothing of it.
func outcomeOfStreamEnd(err error) policy.Status {
	if errors.Is(err, io.EOF) {
		return policy.Reset
	}
	return policy.Cancelled
}

// applyResponseChanges adds the route's changes of the response headers to the reply to them.
func (p *processingStream) applyResponseChanges(reply *pb.ProcessingResponse) {
	if p.destination.ResponseEdits == nil {
		return
	}
	h, err := parseHeaders(p.message.GetResponseHeaders().GetHeaders(), p.server.MaxHeaderBytes)
	if err != nil {
		return // impossible: outcome has parsed them
	}
	after := h.fields.Clone()
	p.destination.ResponseEdits.Apply(after)
	reply.GetResponseHeaders().Response.HeaderMutation = headerMutation(h.fields, after)
}

// outcome returns the attempt's outcome by the response headers.
func (p *processingStream) outcome(e *pickedEndpoint) (policy.Status, error) {
	h, err := parseHeaders(p.message.GetResponseHeaders().GetHeaders(), p.server.MaxHeaderBytes)
	if err != nil {
		return 0, err
	}
	code, err := strconv.Atoi(h.status)
	if err != nil || code < 100 || code > 599 {
		return 0, errors.New("response_headers: :status is missing or malformed")
	}
	used, details := reportedUpstream(p.message)
	if used != "" && used != e.address {
		p.server.Stats.EndpointMismatches.Add(1)
		p.server.Log.Warn("caller used another endpoint than the selected one",
			"given", e.address, "sent", used, "request", p.attributes.ID)
		return policy.Cancelled, nil // says nothing of the picked endpoint
	}
	return Outcome(code, h.fields, details), nil
}

// reportedUpstream returns the endpoint that the caller used and Envoy's response code details, as far as the caller is
// configured to report them (request_attributes, response_attributes; metadata of MetadataNamespace).
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
		if v := m.GetFields()[servedHeader].GetStringValue(); v != "" {
			address = v
		}
	}
	return address, details
}

// Outcome returns the outcome of an attempt that the caller sent, by the response's status code and headers and by
// Envoy's response.code_details. details is "" where it is not reported: then a 503 of the caller's own passes for the
// endpoint's, which may have run all the same.
//
//	no connection         upstream_reset_before_response_started{connection_failure...},
//	                      the same with connection_timeout or overflow                   never sent
//	a reset               upstream_reset_before_response_started{...}                    may have run
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
	case isUnsent(details):
		return policy.ConnectFailed
	case code >= 500:
		return h1client.FailureStatus(&http.Response{StatusCode: code, Header: h})
	}
	return policy.OK
}

// isConnectFailure reports whether the caller had no connection to the endpoint.
func isConnectFailure(details string) bool {
	return strings.HasPrefix(details, "upstream_reset_before_response_started{") &&
		(strings.Contains(details, "connection_failure") ||
			strings.Contains(details, "connection_timeout") ||
			strings.Contains(details, "overflow"))
}

// isTimeout reports whether a timeout of the caller's ended the attempt.
func isTimeout(details string) bool {
	return strings.HasSuffix(details, "response_timeout") ||
		strings.HasSuffix(details, "per_try_timeout") ||
		strings.HasSuffix(details, "max_duration_timeout")
}

// isUnsent reports whether the caller had no endpoint to send to.
func isUnsent(details string) bool {
	switch details {
	case "no_healthy_upstream", "cluster_not_found", "maintenance_mode":
		return true
	}
	return strings.HasSuffix(details, "overflow")
}
