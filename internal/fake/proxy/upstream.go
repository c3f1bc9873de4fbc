package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"
)

// Values that Envoy gives the attribute response.code_details.
const (
	detailsUpstream   = "via_upstream"
	detailsConnection = "upstream_reset_before_response_started{connection_failure}"
	detailsReset      = "upstream_reset_before_response_started{connection_termination}"
)

// forward sends the request to the picked endpoint and reports the response to the processor, unless the request's fault
// prevents it. retry reports whether the proxy may retry the request.
func (x *exchange) forward(header http.Header, server string) (retry bool, err error) {
	switch x.request.Fault {
	case DisconnectAfterDecision:
		return false, x.disconnect()
	case HalfCloseStream:
		x.stream.CloseSend()
		_, err := x.stream.Recv()
		return false, err
	case OtherServer:
		server = x.proxy.OtherServer
	}
	details, err := x.roundTrip(header, server)
	if err != nil {
		return false, err
	}
	if x.request.Fault == NoResponseHeaders {
		<-x.ctx.Done()
		return false, x.ctx.Err()
	}
	if err := x.reportResponse(server, details); err != nil {
		return false, err
	}
	return x.result.Status >= http.StatusInternalServerError, nil
}

// roundTrip sends the request to a server, and sets the result to the server's response, or to status 503 if the server
// did not respond. It returns an error only if the request is invalid.
func (x *exchange) roundTrip(header http.Header, server string) (details string, err error) {
	q := &x.request
	r, err := http.NewRequestWithContext(x.ctx, q.Method, "http://"+server+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return "", err
	}
	r.Header = header
	// The transport sends a request again if it can repeat the body; http.NoBody is such a body too.
	r.Body, r.GetBody = io.NopCloser(bytes.NewReader(q.Body)), nil
	if x.proxy.OnSend != nil {
		x.proxy.OnSend(server, time.Now())
	}
	resp, err := x.proxy.upstream.RoundTrip(r)
	if err != nil {
		x.result.Status, x.result.Header = http.StatusServiceUnavailable, http.Header{}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return detailsConnection, nil
		}
		return detailsReset, nil
	}
	defer resp.Body.Close()
	if x.result.Body, err = io.ReadAll(resp.Body); err != nil {
		x.result.Truncated = true
	}
	x.result.Status, x.result.Header = resp.StatusCode, resp.Header
	return detailsUpstream, nil
}

// reportResponse reports the response headers to the processor, applies the processor's mutation to them, and ends the
// stream. If the processor replies with an immediate response, that replaces the server's response.
func (x *exchange) reportResponse(server, details string) error {
	header := headerMap{}
	header.add(":status", strconv.Itoa(x.result.Status))
	header.addAll(x.result.Header)
	attributes, _ := structpb.NewStruct(map[string]any{"response.code_details": details, "upstream.address": server})
	headers := &pb.HttpHeaders{Headers: header.proto(), EndOfStream: true}
	if err := x.stream.Send(&pb.ProcessingRequest{
		Request:    &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: headers},
		Attributes: map[string]*structpb.Struct{"envoy.filters.http.ext_proc": attributes},
	}); err != nil {
		return err
	}
	reply, err := x.stream.Recv()
	if err != nil {
		return err
	}
	if immediate := reply.GetImmediateResponse(); immediate != nil {
		x.setImmediateResponse(immediate)
		return nil
	}
	ApplyMutation(x.result.Header, reply.GetResponseHeaders().GetResponse().GetHeaderMutation())
	x.stream.CloseSend()
	x.stream.Recv()
	return nil
}
