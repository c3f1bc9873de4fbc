package extproc

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"yokestall/internal/fairshare"
	"yokestall/internal/ingress"
)

const (
	// responseMargin is how long before the request's timeout the final answer is due, so that it reaches the caller in
	// time.
	responseMargin = 10 * time.Millisecond
	// expectedTimeoutHeader is the header field with Envoy's own timeout of the request, in milliseconds.
	expectedTimeoutHeader = "X-Envoy-Expected-Rq-Timeout-Ms"
)

// processingStream is one processing stream: a caller's request and its response, in phases.
type processingStream struct {
	server        *Server
	rpc           grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]
	state         *StreamState
	timer         *streamTimer
	arrivedAt     time.Duration // time on Server.Clock at which the stream was opened
	bufferedBytes int64         // this stream's part of Server.bufferedBytes
	cost          fairshare.Cost

	message     *pb.ProcessingRequest // latest message received
	request     *http.Request
	destination ingress.Destination
	attributes  ingress.Attributes
	deadline    time.Duration // time on Server.Clock by which the final answer is due
}

// run handles the stream until it ends.
func (p *processingStream) run() error {
	if _, _, err := p.recvWithin(p.server.FirstMessageTimeout); err != nil {
		return err
	}
	if p.state.ObserveOnly { // the caller ignores replies, so no decision is made
		p.cost = fairshare.Forwarded
		return p.discardMessages()
	}
	err := p.readRequest()
	var rejection *ingress.Rejection
	switch {
	case errors.As(err, &rejection):
		return p.sendInvalid(rejection)
	case err != nil:
		return err
	}
	p.setDeadline()
	if p.destination.PickEndpoint {
		return p.pick()
	}
	return p.forward()
}

// readRequest sets request, destination and attributes from the request headers. The error is an *ingress.Rejection if
// the request must be answered with it.
func (p *processingStream) readRequest() error {
	h, err := parseHeaders(p.message.GetRequestHeaders().GetHeaders(), p.server.MaxHeaderBytes)
	if err == nil {
		p.request, err = h.newRequest()
	}
	var tooLarge headersTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return &ingress.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Message: err.Error()}
	case err != nil:
		return fmt.Errorf("request_headers: %w", err)
	}
	if p.destination, err = p.server.Router.Route(p.request); err != nil {
		return err
	}
	if p.attributes, err = ingress.ReadAttributes(h.fields, &p.destination, false); err != nil {
		return err
	}
	if p.attributes.ID == "" {
		p.attributes.ID = p.server.idPrefix + strconv.FormatUint(p.server.lastID.Add(1), 36)
	}
	return nil
}

// setDeadline sets the deadline and the timeout in attributes, from the shortest of the timeout in attributes, the
// caller's timeout of the request (expectedTimeoutHeader) and the time left until the gRPC call's deadline.
func (p *processingStream) setDeadline() {
	timeout := ingress.SingleValue(p.request.Header[expectedTimeoutHeader])
	if ms, err := strconv.ParseUint(timeout, 10, 31); err == nil && ms > 0 {
		p.attributes.Timeout = min(p.attributes.Timeout, time.Duration(ms)*time.Millisecond)
	}
	if at, ok := p.rpc.Context().Deadline(); ok {
		p.attributes.Timeout = min(p.attributes.Timeout, time.Until(at))
	}
	p.deadline = p.arrivedAt + p.attributes.Timeout - responseMargin
	p.server.recordTimeout(p.attributes.Timeout)
}

// recordTimeout raises maxTimeout to the given timeout if that is longer.
func (s *Server) recordTimeout(timeout time.Duration) {
	for {
		longest := s.maxTimeout.Load()
		if longest >= int64(timeout) || s.maxTimeout.CompareAndSwap(longest, int64(timeout)) {
			return
		}
	}
}

// recv receives the next message and checks the order of messages. last reports that the message ends its direction.
func (p *processingStream) recv() (phase Phase, last bool, err error) {
	if p.message, err = p.rpc.Recv(); err != nil {
		return NoPhase, false, err
	}
	return p.state.Step(p.message)
}

// recvWithin is recv with a timeout: if no message arrives within it, the stream ends.
func (p *processingStream) recvWithin(timeout time.Duration) (Phase, bool, error) {
	p.timer.start(timeout)
	phase, last, err := p.recv()
	p.timer.stop()
	return phase, last, err
}

// received holds the results of recv.
type received struct {
	phase Phase
	last  bool
	err   error
}

// recvBy is recv with a deadline, a time on Server.Clock. If no message arrives by then, timedOut is true. The stream
// stays open for the final answer, but must not be received from again.
func (p *processingStream) recvBy(deadline time.Duration) (r received, timedOut bool) {
	results := make(chan received, 1)
	go func() { // ends with the stream
		phase, last, err := p.recv()
		results <- received{phase, last, err}
	}()
	timer := time.NewTimer(deadline - p.server.Clock.Now())
	defer timer.Stop()
	select {
	case r := <-results:
		return r, false
	case <-timer.C:
		return received{}, true
	}
}

// discardMessages receives and ignores messages until the stream ends.
func (p *processingStream) discardMessages() error {
	for {
		if _, _, err := p.recv(); err != nil {
			return err
		}
	}
}

// send sends a reply; it does nothing if r is nil. The stream ends if the caller does not read the reply within
// sendTimeout.
func (p *processingStream) send(r *pb.ProcessingResponse) error {
	if r == nil {
		return nil
	}
	p.timer.start(sendTimeout)
	err := p.rpc.Send(r)
	p.timer.stop()
	return err
}

// reserveBuffer reserves n bytes of Server.MaxBufferedBytes until the stream ends. It reports whether n bytes were left;
// otherwise it reserves none.
func (p *processingStream) reserveBuffer(n int) bool {
	if p.server.bufferedBytes.Add(int64(n)) > p.server.MaxBufferedBytes {
		p.server.bufferedBytes.Add(-int64(n))
		return false
	}
	p.bufferedBytes += int64(n)
	return true
}

func (p *processingStream) releaseBuffers() {
	p.server.bufferedBytes.Add(-p.bufferedBytes)
	p.bufferedBytes = 0
}
