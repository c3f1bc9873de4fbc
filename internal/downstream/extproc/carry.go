package extproc

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
)

// uploadHeld is what is held of a body that comes in parts, so that it can be sent again.
const uploadHeld = h1client.MaxBody

// carry carries the request out and gives the caller its answer.
func (x *exchange) carry() error {
	x.s.Stats.Carried.Add(1)
	out := &h1client.Request{
		Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Limits: x.to.Streams,
		AcceptsTrailers: x.req.Header.Get("Te") == "trailers", Header: h1client.EndToEndHeader(x.req.Header.Clone()),
	}
	if x.to.Request != nil {
		x.to.Request.Apply(out.Header)
	}
	out.Header["X-Request-Id"] = []string{x.terms.ID}
	ctx, stop := context.WithCancel(x.stream.Context())
	defer stop()
	switch x.machine.Plan(x.s.Override) {
	case NoBody:
	case OneBody, Override:
		if handled, err := x.whole(out); handled || err != nil {
			return err
		}
	case Stream:
		if !x.hold(uploadHeld) {
			return x.refuse(x.to.MaxRetryAfter)
		}
		end := x.upload(out, stop)
		defer end()
	case Refused:
		return x.reject(&ingress.Rejection{Status: http.StatusNotImplemented,
			Text: "the route carries requests out: the caller has to send their bodies (request_body_mode), or heed mode_override"})
	}
	b, handled, err := x.once(out.Body, out.Upload == nil)
	if handled || err != nil {
		return err
	}
	q := x.submit(out)
	q.ClientDisconnected = func() bool { return ctx.Err() != nil }
	a, err := x.to.Cluster.Do(ctx, q)
	if err != nil {
		if errors.Is(err, engine.ErrRetired) && x.stream.Context().Err() == nil {
			x.over(b, idempotency.Rejected, nil, x.to.MaxRetryAfter)
			return x.refuse(x.to.MaxRetryAfter)
		}
		x.over(b, idempotency.Indeterminate, nil, 0)
		x.s.Stats.Left.Add(1)
		return context.Canceled
	}
	return x.answer(b, a)
}

// submit is what the engine gets.
func (x *exchange) submit(payload any) *engine.Request {
	return &engine.Request{
		Class: x.to.Class, Tenant: x.terms.Tenant, WorkHint: x.terms.Hint, Deadline: x.end,
		MaxAttempts: x.to.MaxAttempts, PerTryTimeout: x.to.PerTry, Payload: payload,
	}
}

// whole has the body come in one message, which the caller holds the request for.
func (x *exchange) whole(out *h1client.Request) (handled bool, err error) {
	pass := x.machine.Pass(x.msg, RequestHead)
	if x.machine.Plan(x.s.Override) == Override {
		pass.ModeOverride = &filterv3.ProcessingMode{RequestBodyMode: modeBuffered, ResponseHeaderMode: filterv3.ProcessingMode_SKIP}
	}
	if err := x.send(pass); err != nil {
		return true, err
	}
	for parts := 0; ; {
		kind, end, late, err := x.nextBy(x.end)
		if late { // it has not run
			return true, x.refuse(x.to.MaxRetryAfter)
		}
		if err != nil {
			return true, err
		}
		switch kind {
		case Nothing:
		case RequestBody:
			body := x.msg.GetRequestBody().GetBody()
			if parts++; parts > 1 {
				return true, errPast
			}
			if !x.hold(len(body)) {
				return true, x.refuse(x.to.MaxRetryAfter)
			}
			out.Body = body
			if end {
				return false, nil
			}
			if x.machine.RequestMode == modePartial {
				return true, x.reject(&ingress.Rejection{Status: http.StatusRequestEntityTooLarge, Text: "the body is over the caller's buffer"})
			}
			// Trailers follow, once the body was replied to.
			if err := x.send(x.machine.Pass(x.msg, kind)); err != nil {
				return true, err
			}
		case RequestTrailers:
			return false, nil
		default:
			return true, errPast
		}
	}
}

// nextBy is next, for as long as the request has. A late one still gets its final answer, so the exchange
// goes on; nothing more can be read of it.
func (x *exchange) nextBy(end time.Duration) (kind Kind, last, late bool, err error) {
	type step struct {
		kind Kind
		last bool
		err  error
	}
	came := make(chan step, 1)
	go func() { // ends with the exchange
		kind, last, err := x.next()
		came <- step{kind, last, err}
	}()
	timer := time.NewTimer(end - x.s.Clock.Now())
	defer timer.Stop()
	select {
	case s := <-came:
		return s.kind, s.last, false, s.err
	case <-timer.C:
		return Nothing, false, true, nil
	}
}

var errPast = errors.New("the request goes on before its body is through: a carried one's caller has to buffer it (request_body_mode)")

// upload has the body come in parts, which are passed on while they do. end has to be called before
// the exchange ends; leave ends the request where the caller breaks off.
func (x *exchange) upload(out *h1client.Request, leave func()) (end func()) {
	from, to := io.Pipe()
	framed := x.machine.RequestMode == modeGRPC
	out.Upload, out.Length = h1client.NewUpload(from, uploadHeld), -1
	if n, err := strconv.ParseInt(x.req.Header.Get("Content-Length"), 10, 63); err == nil {
		out.Length = n
	}
	go out.Upload.Run(false)
	go func() {
		for {
			kind, last, err := x.next()
			if err != nil {
				to.CloseWithError(err)
				if !errors.Is(err, io.EOF) {
					leave()
				}
				return
			}
			if kind == RequestBody {
				if err := writeBody(to, x.msg.GetRequestBody(), framed); err != nil {
					return // the exchange is over
				}
			}
			if last && (kind == RequestBody || kind == RequestTrailers) {
				to.Close()
			}
		}
	}()
	out.Upload.AwaitBufferFor(h1client.UploadBufferTimeout)
	return func() {
		out.Upload.Close()
		from.Close()
	}
}

// writeBody writes a part; in the mode GRPC each is a message, which goes in a frame of gRPC's
// (gRPC over HTTP2, "Length-Prefixed-Message").
func writeBody(to io.Writer, b *pb.HttpBody, framed bool) error {
	if framed {
		if b.GetEndOfStreamWithoutMessage() {
			return nil
		}
		var prefix [5]byte
		if b.GetGrpcMessageCompressed() {
			prefix[0] = 1
		}
		binary.BigEndian.PutUint32(prefix[1:], uint32(len(b.GetBody())))
		if _, err := to.Write(prefix[:]); err != nil {
			return err
		}
	}
	_, err := to.Write(b.GetBody())
	return err
}

// answer gives the caller a final answer.
func (x *exchange) answer(b begun, a engine.Answer) error {
	answer, _ := a.Value.(*h1client.Answer)
	if answer != nil && x.to.Response != nil {
		x.to.Response.Apply(answer.Header)
	}
	switch {
	case a.Verdict == engine.Rejected:
		x.over(b, idempotency.Rejected, nil, a.RetryAfter)
		if answer == nil {
			return x.refuse(a.RetryAfter)
		}
		x.s.Stats.Refused.Add(1)
		if a.RetryAfter > 0 && answer.Header.Get("Retry-After") == "" {
			answer.Header.Set("Retry-After", ingress.Seconds(a.RetryAfter))
		}
	case a.Verdict == engine.Failed:
		x.over(b, idempotency.Indeterminate, nil, 0)
		if answer == nil {
			return x.fail()
		}
		x.s.Stats.Failed.Add(1)
	case answer.Stream != nil && x.machine.Streams():
		x.over(b, idempotency.Answered, nil, 0)
		x.s.Stats.Served.Add(1)
		return x.passOn(answer)
	case answer.Stream != nil:
		if err := x.gather(answer); err != nil {
			x.over(b, idempotency.Answered, nil, 0)
			return x.fail()
		}
		fallthrough
	default:
		x.over(b, idempotency.Answered, answer, 0)
		x.s.Stats.Served.Add(1)
	}
	r := immediate(answer.Status, answer.Header, answer.Body, "carried")
	if s := ingress.One(answer.Trailer["Grpc-Status"]); s != "" {
		if code, err := strconv.ParseUint(s, 10, 32); err == nil {
			r.GetImmediateResponse().GrpcStatus = &pb.GrpcStatus{Status: uint32(code)}
		}
	}
	return x.send(r)
}

var errBroken = status.Error(codes.Unavailable, "the server's answer broke off")

var errLong = errors.New("extproc: the answer is longer than the caller can be given")

// gather reads a stream to its end, within the bound on answers.
func (x *exchange) gather(a *h1client.Answer) error {
	s := a.Stream
	defer s.Close()
	defer context.AfterFunc(x.stream.Context(), s.Abort)()
	if a.Length > int64(x.s.Answer) || !x.hold(x.s.Answer) {
		return errLong
	}
	body, err := io.ReadAll(io.LimitReader(s, int64(x.s.Answer)+1))
	switch {
	case err != nil:
		return err
	case len(body) > x.s.Answer:
		return errLong
	}
	a.Body, a.Stream, a.Trailer = body, nil, s.Trailer()
	return nil
}

// passOn passes a stream on while it comes (service.ext_proc.v3.StreamedImmediateResponse). One that
// breaks ends the exchange with an error: the caller must not take the part for the whole.
func (x *exchange) passOn(a *h1client.Answer) error {
	s := a.Stream
	defer s.Close()
	defer context.AfterFunc(x.stream.Context(), s.Abort)()
	say := func(r *pb.StreamedImmediateResponse) error {
		return x.send(&pb.ProcessingResponse{Response: &pb.ProcessingResponse_StreamedImmediateResponse{StreamedImmediateResponse: r}})
	}
	if err := say(&pb.StreamedImmediateResponse{Response: &pb.StreamedImmediateResponse_HeadersResponse{
		HeadersResponse: &pb.HttpHeaders{Headers: headerMap(a.Status, a.Header)},
	}}); err != nil {
		return err
	}
	for {
		buffer := make([]byte, 32<<10) // the message keeps it
		n, err := s.Read(buffer)
		last := err == io.EOF
		trailer := http.Header(nil)
		if last {
			trailer = s.Trailer()
		}
		if n > 0 || last && len(trailer) == 0 {
			if err := say(&pb.StreamedImmediateResponse{Response: &pb.StreamedImmediateResponse_BodyResponse{
				BodyResponse: &pb.StreamedBodyResponse{Body: buffer[:n], EndOfStream: last && len(trailer) == 0},
			}}); err != nil {
				return err
			}
		}
		switch {
		case last && len(trailer) > 0:
			return say(&pb.StreamedImmediateResponse{Response: &pb.StreamedImmediateResponse_TrailersResponse{TrailersResponse: headerMap(0, trailer)}})
		case last:
			return nil
		case err != nil:
			return errBroken
		}
	}
}
