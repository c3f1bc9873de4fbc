package callers

import (
	"context"
	"fmt"
	"io"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// exchange sends the headers of the n-th request and of its response to the processor on a new stream. It fails if the
// processor rejects the request.
func exchange(ctx context.Context, client pb.ExternalProcessorClient, n int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Process(ctx)
	if err != nil {
		return err
	}
	for _, message := range []*pb.ProcessingRequest{requestMessage(n), responseMessage()} {
		if err := stream.Send(message); err != nil {
			return err
		}
		answer, err := stream.Recv()
		if err != nil {
			return err
		}
		if answer.GetImmediateResponse() != nil {
			return fmt.Errorf("processor rejected the request: %v", answer)
		}
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != io.EOF {
		return fmt.Errorf("stream did not end with EOF: %w", err)
	}
	return nil
}

// requestMessage returns the message with the headers of the n-th request.
func requestMessage(n int64) *pb.ProcessingRequest {
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{RequestHeaders: headers(
		":method", "GET",
		":path", "/pick/hotels/7/rooms?nights=2",
		":authority", "rates.example.org",
		":scheme", "https",
		"user-agent", "bench",
		"accept", "application/json",
		"x-request-id", strconv.FormatInt(n, 10),
	)}}
}

// responseMessage returns the message with the headers of a response, which are always the same.
func responseMessage() *pb.ProcessingRequest {
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: headers(
		":status", "200",
		"content-type", "application/json",
	)}}
}

// headers returns the headers of a message without a body. namesAndValues alternates between names and values.
func headers(namesAndValues ...string) *pb.HttpHeaders {
	fields := &corev3.HeaderMap{}
	for i := 0; i < len(namesAndValues); i += 2 {
		fields.Headers = append(fields.Headers, &corev3.HeaderValue{
			Key:      namesAndValues[i],
			RawValue: []byte(namesAndValues[i+1]),
		})
	}
	return &pb.HttpHeaders{EndOfStream: true, Headers: fields}
}
