package extproc

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strconv"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// uploadReplayBytes is the number of bytes of a streamed body that are buffered so that a retry can send them again.
const uploadReplayBytes = h1client.MaxBody

// errBodyNotBuffered ends a stream on which another message arrives in place of the complete body, or of the trailers
// that follow it.
var errBodyNotBuffered = errors.New(
	"the caller continued the request before it sent the complete body; set request_body_mode to BUFFERED")

// receiveBody replies to the request headers and receives the body in one message. The caller holds the request back
// meanwhile. handled reports that the request was answered.
func (p *processingStream) receiveBody(out *h1client.Request, delivery BodyDelivery) (handled bool, err error) {
	reply := p.state.ContinueReply(p.message, RequestHeaders)
	if delivery == OverrideBodyMode {
		reply.ModeOverride = &filterv3.ProcessingMode{
			RequestBodyMode: modeBuffered, ResponseHeaderMode: filterv3.ProcessingMode_SKIP,
		}
	}
	if err := p.send(reply); err != nil {
		return true, err
	}
	hasBody := false
	for {
		r, timedOut := p.recvBy(p.deadline)
		switch {
		case timedOut: // the request has not run
			return true, p.sendUnavailable(p.destination.MaxRetryAfter)
		case r.err != nil:
			return true, r.err
		case r.phase == NoPhase:
			continue
		case r.phase == RequestTrailers:
			return false, nil
		case r.phase != RequestBody || hasBody:
			return true, errBodyNotBuffered
		}
		hasBody = true
		if handled, err := p.takeBody(out, r.last); handled || err != nil || r.last {
			return handled, err
		}
	}
}

// takeBody sets the request's body from the latest message. last says that no trailers follow the body. handled reports
// that the request was answered.
func (p *processingStream) takeBody(out *h1client.Request, last bool) (handled bool, err error) {
	body := p.message.GetRequestBody().GetBody()
	if !p.reserveBuffer(len(body)) {
		return true, p.sendUnavailable(p.destination.MaxRetryAfter)
	}
	out.Body = body
	if last {
		return false, nil
	}
	if p.state.RequestMode == modePartial {
		return true, p.sendInvalid(&ingress.Rejection{
			Status: http.StatusRequestEntityTooLarge, Message: "the body is over the caller's buffer",
		})
	}
	if err := p.send(p.state.ContinueReply(p.message, RequestBody)); err != nil { // the reply makes the caller send the trailers
		return true, err
	}
	return false, nil
}

// receiveUpload starts to receive the body in parts, which are sent to the endpoint as they arrive. disconnect is called
// if the stream ends with an error. stop must be called before the stream ends.
func (p *processingStream) receiveUpload(out *h1client.Request, disconnect func()) (stop func()) {
	reader, writer := io.Pipe()
	out.Upload, out.Length = h1client.NewUpload(reader, uploadReplayBytes), -1
	if n, err := strconv.ParseInt(p.request.Header.Get("Content-Length"), 10, 63); err == nil {
		out.Length = n
	}
	go out.Upload.Run(false)
	go p.copyBody(writer, disconnect)
	out.Upload.AwaitBufferFor(h1client.UploadBufferTimeout)
	return func() {
		out.Upload.Close()
		reader.Close()
	}
}

// copyBody receives messages until the stream ends and writes the parts of the body to writer.
func (p *processingStream) copyBody(writer *io.PipeWriter, disconnect func()) {
	framed := p.state.RequestMode == modeGRPC
	for {
		phase, last, err := p.recv()
		if err != nil {
			writer.CloseWithError(err)
			if !errors.Is(err, io.EOF) {
				disconnect()
			}
			return
		}
		if phase == RequestBody {
			if err := writeBody(writer, p.message.GetRequestBody(), framed); err != nil {
				return // the reader was closed: the request has ended
			}
		}
		if last && (phase == RequestBody || phase == RequestTrailers) {
			writer.Close()
		}
	}
}

// writeBody writes a part of a body. framed says that the body mode is GRPC: each part is a gRPC message, which is
// written with gRPC's five-byte prefix ("gRPC over HTTP2", Length-Prefixed-Message).
func writeBody(w io.Writer, b *pb.HttpBody, framed bool) error {
	if framed {
		if b.GetEndOfStreamWithoutMessage() {
			return nil
		}
		var prefix [5]byte
		if b.GetGrpcMessageCompressed() {
			prefix[0] = 1
		}
		binary.BigEndian.PutUint32(prefix[1:], uint32(len(b.GetBody())))
		if _, err := w.Write(prefix[:]); err != nil {
			return err
		}
	}
	_, err := w.Write(b.GetBody())
	return err
}
