package extproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// responseChunkBytes is the maximum length of the part of a streamed response's body in one message.
const responseChunkBytes = 32 << 10

var (
	// errResponseAborted ends a stream whose response failed after its headers were sent to the caller.
	errResponseAborted = status.Error(codes.Unavailable, "the endpoint's response ended before it was complete")
	// errResponseTooLarge reports that a response can't be buffered in order to be sent in one message.
	errResponseTooLarge = errors.New("extproc: endpoint's response exceeds the limit of one message or the free buffer space")
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

// completeRejected sends the answer to a request that has not run. response is the response of the endpoint that
// rejected the request; it is nil if no endpoint did.
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

// sendServed sends an endpoint's response to a request that has run. A streamed response is streamed to a caller that
// allows it, and buffered for any other caller.
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

// sendResponse sends an endpoint's response in one message, with the gRPC status from the response's trailers.
func (p *processingStream) sendResponse(response *h1client.Answer) error {
	r := immediateResponse(response.Status, response.Header, response.Body, detailsForwarded)
	if s := ingress.SingleValue(response.Trailer["Grpc-Status"]); s != "" {
		if code, err := strconv.ParseUint(s, 10, 32); err == nil {
			r.GetImmediateResponse().GrpcStatus = &pb.GrpcStatus{Status: uint32(code)}
		}
	}
	return p.send(r)
}

// bufferResponse reads a streamed response to its end, until the final answer is due: the caller gets nothing of it before. The
// error is errResponseTooLarge if the response's body exceeds MaxResponseBytes or the server's buffers have fewer than
// MaxResponseBytes left.
func (p *processingStream) bufferResponse(response *h1client.Answer) error {
	s := response.Stream
	defer s.Close()
	defer context.AfterFunc(p.rpc.Context(), s.Abort)()
	defer time.AfterFunc(p.deadline-p.server.Clock.Now(), s.Abort).Stop()
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

// streamResponse sends a response to the caller as it arrives (service.ext_proc.v3.StreamedImmediateResponse). If the
// response fails part way, the stream ends with an error, so that the caller doesn't take the part for the whole.
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
		chunk := make([]byte, responseChunkBytes) // allocated for each message, which retains its chunk
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
