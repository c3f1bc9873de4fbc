// Package extproc is the front for other proxies that ask what to do with each request they have:
// the server's side of Envoy's external processing (envoy.service.ext_proc.v3). Like every front
// it decides nothing: a Router says where a request goes, the engine what becomes of it there.
//
// It works in two ways, by route. Carry: the program carries the request out and the caller gives
// its answer. Pick: the program names the server, the caller sends; what the caller tells of that
// send is the attempt's outcome.
package extproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/idempotency/replay"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// answerMargin is kept between a final answer and the end of the caller's time.
	answerMargin = 10 * time.Millisecond
	// usualReport is Options.Report where that is 0.
	usualReport = time.Second
	// sendStall is how long a caller may leave what it is sent untaken.
	sendStall = 30 * time.Second
)

// Options are the figures of a Server.
type Options struct {
	Clock   engine.Clock
	Router  ingress.Router
	Log     *slog.Logger
	Streams int           // open at once, over all connections, 1 or more
	Head    int           // bytes of a head's fields
	Message int           // bytes of a message, and so of a body that comes whole
	Buffer  int64         // bytes of bodies and answers that are held, of all streams
	Answer  int           // bytes of an answer that is not passed on as a stream
	First   time.Duration // a stream may say nothing for so long
	// Report is how long a decision to try again waits for the caller to ask; 0: 1 s.
	Report time.Duration
	// Override says that the caller heeds mode_override (allow_mode_override).
	Override bool
	// Named is told of each server that is named, with what was left of the request's time; nil if nobody
	// wants to know. It must not block.
	Named func(id, address string, left time.Duration)
	// Repeats bounds what is known of requests that must not take effect twice.
	Repeats idempotency.Limits
}

// Stats counts what became of requests and of what callers did; a reader may see them change.
type Stats struct {
	Carried, Picked         atomic.Int64 // requests that were asked for
	Served, Refused, Failed atomic.Int64 // final answers
	Repeats                 atomic.Int64 // answered from what is known of the first
	Left                    atomic.Int64 // callers that gave up
	Malformed               atomic.Int64 // streams ended for a message out of order or unreadable
	Strays                  atomic.Int64 // requests that a caller sent to a server it was not given
	Silent                  atomic.Int64 // picks whose outcome the caller never told
	Offers                  atomic.Int64 // servers that were named
	TurnedAway              atomic.Int64 // streams over the bound
}

// Server answers callers. Create it with New; Serve has it listen.
type Server struct {
	pb.UnimplementedExternalProcessorServer
	Options
	Stats   Stats
	streams atomic.Int64
	held    atomic.Int64
	ids     atomic.Uint64
	idStart string
	longest atomic.Int64 // ns, the longest patience that a request has had

	mu      sync.Mutex
	repeats *idempotency.Store
	first   map[*idempotency.Entry]*first // those that run
	asks    map[askKey]*ask
}

// New makes a server that does not listen yet.
func New(o Options) *Server {
	if o.Report == 0 {
		o.Report = usualReport
	}
	return &Server{
		Options: o, repeats: idempotency.New(o.Repeats), first: map[*idempotency.Entry]*first{}, asks: map[askKey]*ask{},
		idStart: "x" + strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
}

// Open counts the streams and requests that are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.streams.Load()) + len(s.asks) + len(s.first)
}

// Process is one exchange of a caller's (service.ext_proc.v3.ExternalProcessor).
func (s *Server) Process(stream grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]) error {
	if s.streams.Add(1) > int64(s.Streams) {
		s.streams.Add(-1)
		s.Stats.TurnedAway.Add(1)
		return status.Error(codes.ResourceExhausted, "too many streams")
	}
	defer s.streams.Add(-1)
	x := &exchange{s: s, stream: stream, machine: NewMachine(), arrived: s.Clock.Now()}
	x.watch = stream.Context().Value(watchKey{}).(*watch)
	defer x.watch.done()
	defer x.free()
	err := x.run()
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return nil
	case errors.Is(context.Cause(stream.Context()), errLate):
		return errLate
	case stream.Context().Err() != nil:
		return status.FromContextError(stream.Context().Err()).Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	s.Stats.Malformed.Add(1)
	return status.Error(codes.InvalidArgument, err.Error())
}

// exchange is one stream.
type exchange struct {
	s       *Server
	stream  grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]
	machine *Machine
	watch   *watch
	arrived time.Duration
	held    int64

	msg   *pb.ProcessingRequest // the latest
	req   *http.Request
	to    ingress.Destination
	terms ingress.Terms
	end   time.Duration // on the clock, when the final answer has to be out
}

// next reads a message and holds it to the order.
func (x *exchange) next() (kind Kind, end bool, err error) {
	if x.msg, err = x.stream.Recv(); err != nil {
		return Nothing, false, err
	}
	return x.machine.Step(x.msg)
}

// nextWithin is next, but ends the exchange where nothing comes for so long.
func (x *exchange) nextWithin(most time.Duration) (Kind, bool, error) {
	x.watch.within(most)
	kind, end, err := x.next()
	x.watch.done()
	return kind, end, err
}

var errLate = status.Error(codes.DeadlineExceeded, "no message came in time, or none was taken")

// watch ends an exchange whose caller neither says nor takes anything: a Recv or Send of the
// library's ends with its context alone, so the context is made where the stream is (Server.tap).
type watch struct {
	end   context.CancelCauseFunc
	timer *time.Timer
}

type watchKey struct{}

func (w *watch) within(most time.Duration) { w.timer.Reset(most) }

func (w *watch) done() { w.timer.Stop() }

// tap implements tap.ServerInHandle.
func (s *Server) tap(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName != pb.ExternalProcessor_Process_FullMethodName {
		return ctx, nil
	}
	w := &watch{}
	ctx, w.end = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(s.First, func() { w.end(errLate) })
	return lateContext{context.WithValue(ctx, watchKey{}, w)}, nil
}

// lateContext says that its time is up where a watch ended it. The library tells the caller what the
// context says, whatever the handler returns.
type lateContext struct{ context.Context }

// Err implements context.Context.
func (c lateContext) Err() error {
	err := c.Context.Err()
	if err != nil && context.Cause(c.Context) == errLate {
		return context.DeadlineExceeded
	}
	return err
}

func (x *exchange) send(r *pb.ProcessingResponse) error {
	if r == nil {
		return nil
	}
	x.watch.within(sendStall)
	err := x.stream.Send(r)
	x.watch.done()
	return err
}

// hold reserves memory for so many bytes; false: there is none.
func (x *exchange) hold(n int) bool {
	if x.s.held.Add(int64(n)) > x.s.Buffer {
		x.s.held.Add(-int64(n))
		return false
	}
	x.held += int64(n)
	return true
}

func (x *exchange) free() {
	x.s.held.Add(-x.held)
	x.held = 0
}

// run answers one exchange.
func (x *exchange) run() error {
	if _, _, err := x.nextWithin(x.s.First); err != nil {
		return err
	}
	if x.machine.Observe { // replies are ignored: there is nothing to decide on
		return x.drain()
	}
	h, err := readHead(x.msg.GetRequestHeaders().GetHeaders(), x.s.Head)
	if err == nil {
		x.req, err = h.request()
	}
	var large errTooLarge
	switch {
	case errors.As(err, &large):
		return x.reject(&ingress.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()})
	case err != nil:
		return fmt.Errorf("request_headers: %w", err)
	}
	if x.to, err = x.s.Router.Route(x.req); err == nil {
		x.terms, err = ingress.Read(h.fields, &x.to, false)
	}
	var no *ingress.Rejection
	switch {
	case errors.As(err, &no):
		return x.reject(no)
	case err != nil:
		return err
	}
	if x.terms.ID == "" {
		x.terms.ID = x.s.idStart + strconv.FormatUint(x.s.ids.Add(1), 36)
	}
	if ms, err := strconv.ParseUint(ingress.One(h.fields["X-Envoy-Expected-Rq-Timeout-Ms"]), 10, 31); err == nil && ms > 0 {
		x.terms.Patience = min(x.terms.Patience, time.Duration(ms)*time.Millisecond)
	}
	if at, ok := x.stream.Context().Deadline(); ok { // of the call itself
		x.terms.Patience = min(x.terms.Patience, time.Until(at))
	}
	x.end = x.arrived + x.terms.Patience - answerMargin
	for old := x.s.longest.Load(); old < int64(x.terms.Patience) && !x.s.longest.CompareAndSwap(old, int64(x.terms.Patience)); {
		old = x.s.longest.Load()
	}
	if x.to.Pick {
		return x.pick()
	}
	return x.carry()
}

// drain reads to the stream's end.
func (x *exchange) drain() error {
	for {
		if _, _, err := x.next(); err != nil {
			return err
		}
	}
}

// reject gives a final answer that no server had to do with.
func (x *exchange) reject(r *ingress.Rejection) error {
	fields := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if r.Allow != "" {
		fields.Set("Allow", r.Allow)
	}
	if r.Location != "" {
		fields.Set("Location", r.Location)
	}
	if r.RetryAfter > 0 {
		fields.Set("Retry-After", ingress.Seconds(r.RetryAfter))
	}
	return x.send(immediate(r.Status, fields, []byte(r.Text+"\n"), "rejected"))
}

// refuse answers a request that has not run: trying again does no harm.
func (x *exchange) refuse(after time.Duration) error {
	x.s.Stats.Refused.Add(1)
	fields := http.Header{}
	if after > 0 {
		fields.Set("Retry-After", ingress.Seconds(after))
	}
	return x.send(immediate(http.StatusServiceUnavailable, fields, nil, "refused"))
}

// fail answers a request of which nothing is promised.
func (x *exchange) fail() error {
	x.s.Stats.Failed.Add(1)
	return x.send(immediate(http.StatusBadGateway, nil, nil, "failed"))
}

// conflict answers a request that may not run beside, or behind, another one.
func (x *exchange) conflict(status int, text string) error {
	x.s.Stats.Repeats.Add(1)
	return x.reject(&ingress.Rejection{Status: status, Text: text})
}

// first is a request that runs under a key, for those that come again meanwhile.
type first struct {
	over chan struct{} // closed at its end
	end  idempotency.Completion
	// answer is what a joiner gets, set before over is closed; nil: nothing that can be shared.
	answer *h1client.Answer
	after  time.Duration
}

// begun is what the store of repeats says of the exchange's request.
type begun struct {
	entry *idempotency.Entry // of the first; nil: the class needs none
	first *first             // that it joins, or is
}

// once asks whether the request may run. A request whose effect may not happen twice is known by its
// key, or by its id where it has none. Handled: it was answered.
func (x *exchange) once(body []byte, join bool) (b begun, handled bool, err error) {
	if x.to.Effect == policy.Idempotent {
		return b, false, nil
	}
	key := idempotency.Key{Tenant: x.terms.Tenant, Name: "key " + x.terms.Key}
	window := x.to.Window
	if x.to.Effect == policy.NotIdempotent {
		key.Name, window, join = "id "+x.terms.ID, 2*x.to.Deadline, false
	}
	s := x.s
	s.mu.Lock()
	v, e, wait := s.repeats.Begin(s.Clock.Now(), key, replay.Fingerprint(x.to.Class, x.req.Method, x.req.RequestURI, x.req.Host, body), window, join)
	switch v {
	case idempotency.First:
		b.entry, b.first = e, &first{over: make(chan struct{})}
		s.first[e] = b.first
	case idempotency.Joined:
		b.first = s.first[e]
	}
	s.mu.Unlock()
	switch v {
	case idempotency.First:
		return b, false, nil
	case idempotency.Joined:
		return b, true, x.join(e, b.first)
	case idempotency.InProgress:
		return b, true, x.conflict(http.StatusConflict, "a request under this key, or id, is open")
	case idempotency.Replayed:
		if a, ok := e.Outcome.(*h1client.Answer); ok {
			return b, true, x.replay(a)
		}
		return b, true, x.conflict(http.StatusConflict, "a request under this key, or id, was answered")
	case idempotency.OutcomeUnknown:
		return b, true, x.conflict(http.StatusConflict, "a request under this key, or id, may have run")
	case idempotency.Mismatch:
		return b, true, x.conflict(http.StatusUnprocessableEntity, "the key stands for another request")
	}
	return b, true, x.refuse(max(wait, x.to.MaxRetryAfter))
}

// over tells the store, and those that joined, what became of the first.
func (x *exchange) over(b begun, end idempotency.Completion, a *h1client.Answer, after time.Duration) {
	x.s.over(b, end, a, after)
}

func (s *Server) over(b begun, end idempotency.Completion, a *h1client.Answer, after time.Duration) {
	if b.entry == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first[b.entry] != b.first { // it has ended already
		return
	}
	delete(s.first, b.entry)
	b.first.end, b.first.answer, b.first.after = end, a, after
	var outcome any
	size := int64(0)
	if a != nil {
		outcome, size = a, replay.AnswerBytes(a)
	}
	s.repeats.Complete(s.Clock.Now(), b.entry, end, outcome, size)
	close(b.first.over)
}

// join waits for the first's outcome, within the request's own time.
func (x *exchange) join(e *idempotency.Entry, f *first) error {
	x.s.Stats.Repeats.Add(1)
	late := time.NewTimer(x.end - x.s.Clock.Now())
	defer late.Stop()
	select {
	case <-f.over:
	case <-late.C:
		x.leave(e)
		return x.fail()
	case <-x.stream.Context().Done():
		x.leave(e)
		x.s.Stats.Left.Add(1)
		return x.stream.Context().Err()
	}
	switch {
	case f.end == idempotency.Rejected:
		return x.refuse(f.after)
	case f.end == idempotency.Answered && f.answer != nil:
		return x.replay(f.answer)
	}
	return x.fail()
}

func (x *exchange) leave(e *idempotency.Entry) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.repeats.RemoveJoiner(e)
}

// replay gives the first's answer.
func (x *exchange) replay(a *h1client.Answer) error {
	x.s.Stats.Served.Add(1)
	fields := a.Header.Clone()
	fields.Set("Idempotent-Replayed", "true")
	return x.send(immediate(a.Status, fields, a.Body, "replayed"))
}
