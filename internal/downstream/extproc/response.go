package extproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// responseChunkBytes is the most of a streamed response that one message has.
const responseChunkBytes = 32 << 10

var (
	// errResponseAborted ends a stream whose response broke off after its headers were sent.
	errResponseAborted = status.Error(codes.Unavailable, "the server's answer broke off")
	// errResponseTooLarge is about a response that is over the bound of one message.
	errResponseTooLarge = errors.New("extproc: the answer is longer than the caller can be given")
)

// sendAnswer sends the engine's final answer to the caller.
func (p *processingStream) sendAnswer(a admission, answer engine.Answer) error {
	response, _ := answer.Value.(*h1client.Answer)
	if response != nil && p.destination.ResponseEdits != nil {
		p.destination.ResponseEdits.Apply(response.Header)
	}
	switch answer.Verdict {
	case engine.Rejected:
		return p.completeRejected(a, answer, response)
	case engine.Failed:
		p.server.complete(a, idempotency.Indeterminate, nil, 0)
		if response == nil {
			return p.sendFailure()
		}
		p.server.Stats.Failed.Add(1)
		return p.sendResponse(response)
	}
	return p.sendServed(a, response)
}

// completeRejected sends an answer to a request that has not run. response is the endpoint's, if it rejected the request.
func (p *processingStream) completeRejected(a admission, answer engine.Answer, response *h1client.Answer) error {
	p.server.complete(a, idempotency.Rejected, nil, answer.RetryAfter)
	if response == nil {
		return p.sendUnavailable(answer.RetryAfter)
	}
	p.server.Stats.Rejected.Add(1)
	if answer.RetryAfter > 0 && response.Header.Get("Retry-After") == "" {
		response.Header.Set("Retry-After", ingress.FormatRetryAfter(answer.RetryAfter))
	}
	return p.sendResponse(response)
}

// sendServed sends an endpoint's response to a request that has run, as a stream where the caller takes one.
func (p *processingStream) sendServed(a admission, response *h1client.Answer) error {
	if response.Stream != nil && p.state.AllowsStreamedResponse() {
		p.server.complete(a, idempotency.Answered, nil, 0)
		p.server.Stats.Served.Add(1)
		return p.streamResponse(response)
	}
	if response.Stream != nil {
		if err := p.bufferResponse(response); err != nil {
			p.server.complete(a, idempotency.Answered, nil, 0)
			return p.sendFailure()
		}
	}
	p.server.complete(a, idempotency.Answered, response, 0)
	p.server.Stats.Served.Add(1)
	return p.sendResponse(response)
}

// sendResponse sends an endpoint's response in one message.
func (p *processingStream) sendResponse(response *h1client.Answer) error {
	r := immediateResponse(response.Status, response.Header, response.Body, detailsForwarded)
	if s := ingress.SingleValue(response.Trailer["Grpc-Status"]); s != "" {
		if code, err := strconv.ParseUint(s, 10, 32); err == nil {
			r.GetImmediateResponse().GrpcStatus = &pb.GrpcStatus{Status: uint32(code)}
		}
	}
	return p.send(r)
}

// bufferResponse reads a streamed response to its end. The error is errResponseTooLarge where it is over
// MaxResponseBytes, or where the buffers have no capacity for so many.
func (p *processingStream) bufferResponse(response *h1client.Answer) error {
	s := response.Stream
	defer s.Close()
	defer context.AfterFunc(p.rpc.Context(), s.Abort)()
	maxBytes := p.server.MaxResponseBytes
	if response.Length > int64(maxBytes) || !p.reserveBuffer(maxBytes) {
		return errResponseTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(s, int64(maxBytes)+1))
	switch {
	case err != nil:
		return err
	case len(body) > maxBytes:
		return errResponseTooLarge
	}
	response.Body, response.Stream, response.Trailer = body, nil, s.Trailer()
	return nil
}

// streamResponse sends a response while it comes (service.ext_proc.v3.StreamedImmediateResponse). One that breaks off
// ends the stream with an error: the caller must not take the part for the complete response.
func (p *processingStream) streamResponse(response *h1client.Answer) error {
	s := response.Stream
	defer s.Close()
	defer context.AfterFunc(p.rpc.Context(), s.Abort)()
	if err := p.sendStreamed(&pb.StreamedImmediateResponse{
		Response: &pb.StreamedImmediateResponse_HeadersResponse{
			HeadersResponse: &pb.HttpHeaders{Headers: headerMap(response.Status, response.Header)},
		},
	}); err != nil {
		return err
	}
	for {
		chunk := make([]byte, responseChunkBytes) // the message retains it
		n, err := s.Read(chunk)
		last := err == io.EOF
		trailer := http.Header(nil)
		if last {
			trailer = s.Trailer()
		}
		endOfStream := last && len(trailer) == 0
		if n > 0 || endOfStream {
			if err := p.sendChunk(chunk[:n], endOfStream); err != nil {
				return err
			}
		}
		switch {
		case endOfStream:
			return nil
		case last:
			return p.sendTrailers(trailer)
		case err != nil:
			return errResponseAborted
		}
	}
}

func (p *processingStream) sendChunk(body []byte, endOfStream bool) error {
	return p.sendStreamed(&pb.StreamedImmediateResponse{
		Response: &pb.StreamedImmediateResponse_BodyResponse{
			BodyResponse: &pb.StreamedBodyResponse{Body: body, EndOfStream: endOfStream},
		},
	})
}

func (p *processingStream) sendTrailers(trailer http.Header) error {
	return p.sendStreamed(&pb.StreamedImmediateResponse{
		Response: &pb.StreamedImmediateResponse_TrailersResponse{TrailersResponse: headerMap(0, trailer)},
	})
}

func (p *processingStream) sendStreamed(r *pb.StreamedImmediateResponse) error {
	return p.send(&pb.ProcessingResponse{
		Response: &pb.ProcessingResponse_StreamedImmediateResponse{StreamedImmediateResponse: r},
	})
}
