// Package proxy is a stand-in for a proxy that asks an external processor what to do with each of
// its requests (envoy.service.ext_proc.v3), as the protocol prescribes, and that misbehaves on
// script. Its clients' side is HTTP, its upstream side too.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/structpb"
)

// Fault is what a proxy does wrong, or a client of its.
type Fault string

// The faults.
const (
	None                     Fault = ""
	DisconnectBeforeDecision Fault = "leaves before the decision"
	DisconnectAfterDecision  Fault = "leaves after the decision"
	NoResponseHeaders        Fault = "never tells what came of it"
	OtherServer              Fault = "sends to another server"
	HalfCloseStream          Fault = "ends the exchange without a response"
)

// Proxy asks a processor. Its fields are set before the first Do.
type Proxy struct {
	Conn        grpc.ClientConnInterface
	BodyMode    filterv3.ProcessingMode_BodySendMode // of request bodies
	Retries     int                                  // of its own, each asked about on a stream of its own
	OtherServer string                               // where WrongServer sends
	// OnSend, if given, is called with the server's address and right before a request goes there.
	OnSend func(address string, at time.Time)

	upstream http.Transport
}

// Request is a request of a client's.
type Request struct {
	Method, Path string
	Header       http.Header
	Body         []byte
	Timeout      time.Duration // of the whole; the exchange's deadline
	Fault        Fault
}

// Result is what a request's client gets.
type Result struct {
	Status      int // 0: nothing, as the client or the exchange broke off
	Header      http.Header
	Body        []byte
	ByProcessor bool     // the processor's answer, or one that it carried
	Truncated   bool     // a part of a body came, and then an error
	Servers     []string // that were named, in turn
	Err         error
}

// Close ends the connections to servers.
func (p *Proxy) Close() { p.upstream.CloseIdleConnections() }

// ServeHTTP is the clients' side.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := Request{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body, Timeout: 30 * time.Second}
	if ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms")); err == nil {
		a.Timeout = time.Duration(ms) * time.Millisecond
	}
	out := p.Do(r.Context(), a)
	if out.Status == 0 || out.Truncated {
		panic(http.ErrAbortHandler)
	}
	for name, values := range out.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(out.Status)
	w.Write(out.Body)
}

// Do has a client's request answered.
func (p *Proxy) Do(ctx context.Context, a Request) (out Result) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		var again bool
		before := out.Servers
		out, again = p.once(ctx, a, attempt)
		out.Servers = append(before, out.Servers...)
		if !again || attempt > p.Retries {
			return out
		}
	}
}

// once is one exchange. again: the proxy would try once more.
func (p *Proxy) once(ctx context.Context, a Request, attempt int) (out Result, again bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	broken := func(err error) (Result, bool) { out.Err = err; return out, false }
	stream, err := pb.NewExternalProcessorClient(p.Conn).Process(ctx)
	if err != nil {
		return broken(err)
	}
	head := &corev3.HeaderMap{}
	put := func(name, value string) {
		head.Headers = append(head.Headers, &corev3.HeaderValue{Key: name, RawValue: []byte(value)})
	}
	put(":method", a.Method)
	put(":path", a.Path)
	put(":authority", "stand-in")
	put(":scheme", "http")
	for name, values := range a.Header {
		for _, v := range values {
			put(strings.ToLower(name), v)
		}
	}
	if p.Retries > 0 {
		put("x-envoy-attempt-count", strconv.Itoa(attempt))
	}
	whole := len(a.Body) == 0
	if err := stream.Send(&pb.ProcessingRequest{
		Request:        &pb.ProcessingRequest_RequestHeaders{RequestHeaders: &pb.HttpHeaders{Headers: head, EndOfStream: whole}},
		ProtocolConfig: &pb.ProtocolConfiguration{RequestBodyMode: p.BodyMode},
	}); err != nil {
		return broken(err)
	}
	if a.Fault == DisconnectBeforeDecision {
		cancel()
		stream.Recv()
		return broken(context.Canceled)
	}
	sent := make(chan struct{}) // nobody else may send before its end
	duplex := !whole && p.BodyMode == filterv3.ProcessingMode_FULL_DUPLEX_STREAMED
	if duplex {
		go func() { // ends with the exchange
			defer close(sent)
			p.body(stream, a.Body, 1000)
		}()
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return broken(err)
		}
		switch r := r.Response.(type) {
		case *pb.ProcessingResponse_ImmediateResponse:
			out.ByProcessor = true
			out.Status, out.Header, out.Body = int(r.ImmediateResponse.GetStatus().GetCode()), http.Header{}, r.ImmediateResponse.GetBody()
			ApplyMutation(out.Header, r.ImmediateResponse.GetHeaders())
			return out, false
		case *pb.ProcessingResponse_StreamedImmediateResponse:
			return p.streamed(stream, r.StreamedImmediateResponse), false
		case *pb.ProcessingResponse_RequestHeaders:
			fields := a.Header.Clone()
			if fields == nil {
				fields = http.Header{}
			}
			ApplyMutation(fields, r.RequestHeaders.GetResponse().GetHeaderMutation())
			server := fields.Get("X-Gateway-Destination-Endpoint")
			if server != "" {
				out.Servers = append(out.Servers, server)
				if duplex {
					if a.Body, err = passed(stream); err != nil {
						return broken(err)
					}
					<-sent
				}
				return p.send(ctx, cancel, stream, a, fields, server, out)
			}
			if whole { // it would go on to a cluster of the proxy's own
				return broken(errors.New("the processor named no server"))
			}
			if err := p.body(stream, a.Body, len(a.Body)); err != nil && err != io.EOF { // answered meanwhile: see Recv
				return broken(err)
			}
		default:
			return broken(fmt.Errorf("a reply that is not due: %T", r))
		}
	}
}

type exchange = grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]

// body sends a body in parts.
func (p *Proxy) body(stream exchange, body []byte, part int) error {
	for len(body) > 0 {
		n := min(part, len(body))
		err := stream.Send(&pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{
			RequestBody: &pb.HttpBody{Body: body[:n], EndOfStream: n == len(body)},
		}})
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// passed reads the body that the processor sends on in place of the one it was sent.
func passed(stream exchange) (body []byte, err error) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		part := r.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse()
		if part == nil {
			return nil, fmt.Errorf("a reply that is not due: %v", r)
		}
		if body = append(body, part.Body...); part.EndOfStream {
			return body, nil
		}
	}
}

// streamed takes an answer that comes in parts.
func (p *Proxy) streamed(stream exchange, first *pb.StreamedImmediateResponse) Result {
	out := Result{ByProcessor: true, Header: http.Header{}}
	for _, f := range first.GetHeadersResponse().GetHeaders().GetHeaders() {
		if f.Key == ":status" {
			out.Status, _ = strconv.Atoi(string(f.RawValue))
			continue
		}
		out.Header.Add(f.Key, string(f.RawValue))
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			out.Truncated, out.Err = true, err
			return out
		}
		s := r.GetStreamedImmediateResponse()
		out.Body = append(out.Body, s.GetBodyResponse().GetBody()...)
		if s.GetBodyResponse().GetEndOfStream() || s.GetTrailersResponse() != nil {
			return out
		}
	}
}

// send sends the request to the server that was named, and tells the processor what came of it.
func (p *Proxy) send(ctx context.Context, leave func(), stream exchange, a Request, fields http.Header, server string, out Result) (Result, bool) {
	switch a.Fault {
	case DisconnectAfterDecision:
		leave()
		stream.Recv()
		out.Err = context.Canceled
		return out, false
	case HalfCloseStream:
		stream.CloseSend()
		_, out.Err = stream.Recv()
		return out, false
	case OtherServer:
		server = p.OtherServer
	}
	r, err := http.NewRequestWithContext(ctx, a.Method, "http://"+server+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		out.Err = err
		return out, false
	}
	r.Header = fields
	if len(a.Body) == 0 {
		r.Body = http.NoBody
	}
	r.GetBody = nil // nothing is sent again by the transport
	if p.OnSend != nil {
		p.OnSend(server, time.Now())
	}
	resp, err := p.upstream.RoundTrip(r)
	details := "via_upstream"
	if err != nil {
		out.Status, details = http.StatusServiceUnavailable, "upstream_reset_before_response_started{connection_termination}"
		if errors.Is(err, syscall.ECONNREFUSED) {
			details = "upstream_reset_before_response_started{connection_failure}"
		}
		out.Header = http.Header{}
	} else {
		defer resp.Body.Close()
		if out.Body, err = io.ReadAll(resp.Body); err != nil {
			out.Truncated = true
		}
		out.Status, out.Header = resp.StatusCode, resp.Header
	}
	if a.Fault == NoResponseHeaders {
		<-ctx.Done()
		out.Err = ctx.Err()
		return out, false
	}
	head := &corev3.HeaderMap{Headers: []*corev3.HeaderValue{{Key: ":status", RawValue: []byte(strconv.Itoa(out.Status))}}}
	for name, values := range out.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &corev3.HeaderValue{Key: strings.ToLower(name), RawValue: []byte(v)})
		}
	}
	attributes, _ := structpb.NewStruct(map[string]any{"response.code_details": details, "upstream.address": server})
	if err := stream.Send(&pb.ProcessingRequest{
		Request:    &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: &pb.HttpHeaders{Headers: head, EndOfStream: true}},
		Attributes: map[string]*structpb.Struct{"envoy.filters.http.ext_proc": attributes},
	}); err != nil {
		out.Err = err
		return out, false
	}
	reply, err := stream.Recv()
	if err != nil {
		out.Err = err
		return out, false
	}
	ApplyMutation(out.Header, reply.GetResponseHeaders().GetResponse().GetHeaderMutation())
	stream.CloseSend()
	stream.Recv()
	return out, out.Status >= 500
}

// ApplyMutation changes fields as a processor says (service.ext_proc.v3.HeaderMutation).
func ApplyMutation(h http.Header, m *pb.HeaderMutation) {
	for _, name := range m.GetRemoveHeaders() {
		h.Del(name)
	}
	for _, o := range m.GetSetHeaders() {
		name, value := o.GetHeader().GetKey(), string(o.GetHeader().GetRawValue())
		switch o.GetAppendAction() {
		case corev3.HeaderValueOption_APPEND_IF_EXISTS_OR_ADD:
			h.Add(name, value)
		case corev3.HeaderValueOption_ADD_IF_ABSENT:
			if h.Get(name) == "" {
				h.Set(name, value)
			}
		case corev3.HeaderValueOption_OVERWRITE_IF_EXISTS:
			if h.Get(name) != "" {
				h.Set(name, value)
			}
		default:
			h.Set(name, value)
		}
	}
}
