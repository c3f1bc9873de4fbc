package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
)

const (
	pickHeader        = "X-Gateway-Destination-Endpoint" // request header that the processor sets to the picked endpoint
	duplexPieceLength = 1000                             // bytes of a body piece in full duplex mode
)

// exchange is one stream to the processor, for one attempt of a request.
type exchange struct {
	proxy   *Proxy
	ctx     context.Context
	cancel  context.CancelFunc
	stream  grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]
	request Request
	result  Result
}

func (p *Proxy) newExchange(ctx context.Context, cancel context.CancelFunc, q Request) (*exchange, error) {
	stream, err := pb.NewExternalProcessorClient(p.Conn).Process(ctx)
	if err != nil {
		return nil, err
	}
	return &exchange{proxy: p, ctx: ctx, cancel: cancel, stream: stream, request: q}, nil
}

// run runs the exchange and sets its result. retry reports whether the proxy may retry the request.
func (x *exchange) run(attempt int) (retry bool, err error) {
	if err := x.sendHeaders(attempt); err != nil {
		return false, err
	}
	if x.request.Fault == DisconnectBeforeDecision {
		return false, x.disconnect()
	}
	duplex := len(x.request.Body) > 0 && x.proxy.BodyMode == filterv3.ProcessingMode_FULL_DUPLEX_STREAMED
	var bodySent <-chan struct{}
	if duplex {
		bodySent = x.startBody()
	}
	for {
		reply, err := x.stream.Recv()
		if err != nil {
			return false, err
		}
		switch r := reply.Response.(type) {
		case *pb.ProcessingResponse_ImmediateResponse:
			x.setImmediateResponse(r.ImmediateResponse)
			return false, nil
		case *pb.ProcessingResponse_StreamedImmediateResponse:
			return false, x.receiveStreamedResponse(r.StreamedImmediateResponse)
		case *pb.ProcessingResponse_RequestHeaders:
			header := x.mutatedHeader(r.RequestHeaders)
			server := header.Get(pickHeader)
			if server != "" {
				return x.forwardPicked(header, server, bodySent)
			}
			if err := x.sendBufferedBody(); err != nil {
				return false, err
			}
		default:
			return false, fmt.Errorf("unexpected message from the processor: got %T, want a headers or immediate response", r)
		}
	}
}

// mutatedHeader returns a copy of the request's headers with the processor's mutation applied.
func (x *exchange) mutatedHeader(r *pb.HeadersResponse) http.Header {
	header := x.request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	ApplyMutation(header, r.GetResponse().GetHeaderMutation())
	return header
}

// forwardPicked forwards the request to the picked endpoint. In full duplex mode (bodySent is not nil), it forwards the
// body that the processor returns.
func (x *exchange) forwardPicked(header http.Header, server string, bodySent <-chan struct{}) (retry bool, err error) {
	x.result.Servers = append(x.result.Servers, server)
	if bodySent != nil {
		if x.request.Body, err = x.receiveBody(); err != nil {
			return false, err
		}
		<-bodySent
	}
	return x.forward(header, server)
}

// disconnect cancels the stream, as a proxy does when its client disconnects.
func (x *exchange) disconnect() error {
	x.cancel()
	x.stream.Recv()
	return context.Canceled
}

// sendHeaders sends the request's headers to the processor.
func (x *exchange) sendHeaders(attempt int) error {
	q := &x.request
	header := headerMap{}
	header.add(":method", q.Method)
	header.add(":path", q.Path)
	header.add(":authority", "stand-in")
	header.add(":scheme", "http")
	header.addAll(q.Header)
	if x.proxy.Retries > 0 {
		header.add("x-envoy-attempt-count", strconv.Itoa(attempt))
	}
	headers := &pb.HttpHeaders{Headers: header.proto(), EndOfStream: len(q.Body) == 0}
	return x.stream.Send(&pb.ProcessingRequest{
		Request:        &pb.ProcessingRequest_RequestHeaders{RequestHeaders: headers},
		ProtocolConfig: &pb.ProtocolConfiguration{RequestBodyMode: x.proxy.BodyMode},
	})
}

// sendBufferedBody sends the whole body to the processor, which has not picked an endpoint from the headers alone. It
// fails if the request has no body.
func (x *exchange) sendBufferedBody() error {
	if len(x.request.Body) == 0 { // a real proxy would use a cluster from its own configuration
		return errors.New("the processor picked no endpoint for a request without a body")
	}
	err := x.sendBody(x.request.Body, len(x.request.Body))
	if err == io.EOF { // the processor has ended the stream: Recv returns its response or the error
		return nil
	}
	return err
}

// startBody sends the body to the processor in the background. The caller must not send on the stream until sent is
// closed.
func (x *exchange) startBody() (sent <-chan struct{}) {
	done, body := make(chan struct{}), x.request.Body
	go func() { // ends at the latest with the exchange
		defer close(done)
		x.sendBody(body, duplexPieceLength)
	}()
	return done
}

// sendBody sends a body to the processor in pieces of at most length bytes.
func (x *exchange) sendBody(body []byte, length int) error {
	for len(body) > 0 {
		n := min(length, len(body))
		err := x.stream.Send(&pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{
			RequestBody: &pb.HttpBody{Body: body[:n], EndOfStream: n == len(body)},
		}})
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// receiveBody receives the body that the processor returns in place of the request's body.
func (x *exchange) receiveBody() (body []byte, err error) {
	for {
		r, err := x.stream.Recv()
		if err != nil {
			return nil, err
		}
		piece := r.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse()
		if piece == nil {
			return nil, fmt.Errorf("unexpected message from the processor: got %v, want a piece of the request body", r)
		}
		if body = append(body, piece.Body...); piece.EndOfStream {
			return body, nil
		}
	}
}

// setImmediateResponse sets the result to the processor's immediate response.
func (x *exchange) setImmediateResponse(r *pb.ImmediateResponse) {
	x.result = Result{
		ByProcessor: true,
		Status:      int(r.GetStatus().GetCode()),
		Header:      http.Header{},
		Body:        r.GetBody(),
		Servers:     x.result.Servers,
		BegunAt:     time.Now(),
	}
	ApplyMutation(x.result.Header, r.GetHeaders())
}

// receiveStreamedResponse receives the pieces of the processor's streamed response and sets the result to them. If the
// stream ends early, the result is marked as truncated.
func (x *exchange) receiveStreamedResponse(first *pb.StreamedImmediateResponse) error {
	x.result = Result{ByProcessor: true, Header: http.Header{}, BegunAt: time.Now()}
	for _, f := range first.GetHeadersResponse().GetHeaders().GetHeaders() {
		if f.Key == ":status" {
			x.result.Status, _ = strconv.Atoi(string(f.RawValue))
			continue
		}
		x.result.Header.Add(f.Key, string(f.RawValue))
	}
	for {
		r, err := x.stream.Recv()
		if err != nil {
			x.result.Truncated = true
			return err
		}
		s := r.GetStreamedImmediateResponse()
		x.result.Body = append(x.result.Body, s.GetBodyResponse().GetBody()...)
		if s.GetBodyResponse().GetEndOfStream() || s.GetTrailersResponse() != nil {
			return nil
		}
	}
}
