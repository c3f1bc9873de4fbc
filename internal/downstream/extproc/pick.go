package extproc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"yokestall/internal/engine"
	"yokestall/internal/idempotency"
	"yokestall/internal/ingress"
	"yokestall/internal/upstream/h1client"
	"yokestall/policy"
)

const (
	// EndpointHeader names the server, as host:port, in the request that goes on; so does the
	// member of the same name in the dynamic metadata of the namespace MetadataNamespace.
	EndpointHeader = "x-gateway-destination-endpoint"
	// MetadataNamespace is the namespace of the dynamic metadata that names the server.
	MetadataNamespace = "envoy.lb"
	// servedHeader is where a caller may tell which server it sent to in the end.
	servedHeader = "x-gateway-destination-endpoint-served"
	// attemptHeader is a caller's own count of its attempts, from 1.
	attemptHeader = "X-Envoy-Attempt-Count"
)

// askKey names a request of a caller's while it is open.
type askKey struct {
	tenant int
	id     string
}

// ask is a request whose servers the caller sends to, over all streams in which it asks for one: its
// first, and one for each retry of its own. For the engine it is one request, and each send an
// attempt. It implements the payload that goes through the engine.
type ask struct {
	s      *Server
	key    askKey
	begun  begun
	cancel context.CancelFunc
	// again says that the caller tells of its own retries, each on a stream of its own. Else a
	// request has one attempt: nobody would come for another server.
	again  bool
	offers chan *offer
	over   chan struct{} // closed with the final answer
	answer engine.Answer // set before; as is
	err    error

	mu      sync.Mutex
	waiting int  // streams that wait for a decision
	named   int  // servers that were named
	ran     bool // one of them may have run it
	out     bool // one was, and its outcome is not known yet
}

// offer is a server that the decision module chose, until a caller takes it.
type offer struct {
	call    *engine.Call
	address string
	outcome chan policy.Status // takes one
}

var (
	_ engine.StreamingPayload = (*ask)(nil)
	_ engine.SelfTimedPayload = (*ask)(nil)
)

// Streaming implements engine.StreamingPayload: what a caller sends is one attempt at a time.
func (*ask) Streaming() bool { return true }

// Consumed implements engine.StreamingPayload.
func (*ask) Consumed() bool { return false }

// SelfTimed implements engine.SelfTimedPayload: a caller has its own times.
func (*ask) SelfTimed() {}

// Carry is an attempt: the server is offered to the caller, and what the caller tells is its outcome.
// One that nobody asks for in time has not been sent, and is the request's last.
func (a *ask) Carry(call *engine.Call, address string, _ time.Duration) engine.Result {
	o := &offer{call: call, address: address, outcome: make(chan policy.Status, 1)}
	stop := make(chan struct{})
	call.OnStop(func() { close(stop) })
	select {
	case a.offers <- o: // usually somebody waits
	default:
		late := time.NewTimer(a.s.Report)
		defer late.Stop()
		select {
		case a.offers <- o:
		case <-stop:
			return engine.Result{Status: policy.NeverSent}
		case <-late.C:
			return engine.Result{Status: policy.NeverSent, Final: true}
		}
	}
	select {
	case status := <-o.outcome:
		return engine.Result{Status: status, Final: status != policy.NeverSent && !a.again}
	case <-stop: // the request's time is up
		a.mu.Lock()
		a.out, a.ran = false, true
		a.mu.Unlock()
		a.s.Stats.Silent.Add(1)
		return engine.Result{Status: policy.Cancelled}
	}
}

// tell is what the caller says of the send that it was last offered a server for; only the first
// word counts.
func (a *ask) tell(o *offer, status policy.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case o.outcome <- status:
		a.out = false
		a.ran = a.ran || status != policy.ConnectFailed && status != policy.Rejected && status != policy.NeverSent
	default:
	}
}

// pick names a server to the caller and hears what came of it.
func (x *exchange) pick() error {
	a, handled, err := x.enter()
	if handled || err != nil {
		return err
	}
	o, err := x.await(a)
	if o == nil {
		return err
	}
	x.s.Stats.Offers.Add(1)
	if err := x.send(x.name(o.address)); err != nil {
		a.tell(o, policy.Cancelled) // it may have heard
		return err
	}
	return x.hear(a, o)
}

// enter finds the request that the stream asks about, or begins it.
func (x *exchange) enter() (a *ask, handled bool, err error) {
	key := askKey{x.terms.Tenant, x.terms.ID}
	count, _ := strconv.Atoi(ingress.One(x.req.Header[attemptHeader]))
	s := x.s
	s.mu.Lock()
	a = s.asks[key]
	if a != nil {
		a.mu.Lock()
		// A retry of the caller's, or a second one under the same id while the first is out.
		again := !a.out && a.waiting == 0 || count > a.named
		if again {
			a.waiting++
		}
		a.mu.Unlock()
		s.mu.Unlock()
		if !again {
			return nil, true, x.conflict(http.StatusConflict, "a request with this id is open")
		}
		return a, false, nil
	}
	s.mu.Unlock()
	b, handled, err := x.once(nil, false)
	if handled || err != nil {
		return nil, true, err
	}
	s.Stats.Picked.Add(1)
	ctx, cancel := context.WithCancel(context.Background())
	a = &ask{s: s, key: key, begun: b, cancel: cancel, offers: make(chan *offer), over: make(chan struct{}), waiting: 1, again: count > 0}
	s.mu.Lock()
	if s.asks[key] != nil { // meanwhile
		s.mu.Unlock()
		cancel()
		s.over(b, idempotency.Rejected, nil, 0)
		return nil, true, x.conflict(http.StatusConflict, "a request with this id is open")
	}
	s.asks[key] = a
	s.mu.Unlock()
	q := x.submit(a)
	go a.run(ctx, x.to.Cluster, q)
	return a, false, nil
}

// run has the engine decide on the request until its final answer.
func (a *ask) run(ctx context.Context, c ingress.Cluster, q *engine.Request) {
	defer a.cancel()
	answer, err := c.Do(ctx, q)
	a.mu.Lock()
	ran := a.ran || a.out // Carry may not have seen yet that the request's time is up
	a.mu.Unlock()
	switch {
	case err == nil && answer.Verdict == engine.Served:
		a.s.over(a.begun, idempotency.Answered, nil, 0)
		a.s.Stats.Served.Add(1)
	case !ran: // a refusal of what may have run is a promise to whoever hears it, and nobody may be there
		a.s.over(a.begun, idempotency.Rejected, nil, answer.RetryAfter)
	default:
		a.s.over(a.begun, idempotency.Indeterminate, nil, 0)
	}
	a.s.mu.Lock()
	delete(a.s.asks, a.key)
	a.s.mu.Unlock()
	a.answer, a.err = answer, err
	close(a.over)
}

// await waits for a server, or the final answer, which it gives; nil: there was none to name.
func (x *exchange) await(a *ask) (*offer, error) {
	left := func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.waiting--
	}
	for {
		select {
		case o := <-a.offers:
			a.mu.Lock()
			// Once the engine was told that the server drains, nothing is named any more: the
			// caller's send comes after this, and the rule counts for it.
			// Nor once the request's time is up, which the engine may not have come to yet, nor to a
			// caller that has gone.
			left := x.end - x.s.Clock.Now()
			if left <= 0 || x.stream.Context().Err() != nil {
				o.call.Revoke()
			}
			if !o.call.BeginSendUnlessDraining(x.end) { // the caller sends it some time until then
				a.mu.Unlock()
				o.outcome <- policy.NeverSent
				continue
			}
			a.named++
			a.out = true
			a.waiting--
			a.mu.Unlock()
			if x.s.Named != nil {
				x.s.Named(x.terms.ID, o.address, left)
			}
			return o, nil
		case <-a.over:
			left()
			return nil, x.final(a)
		case <-x.stream.Context().Done():
			a.mu.Lock()
			a.waiting--
			alone := a.waiting == 0 && !a.out
			a.mu.Unlock()
			if alone { // nobody is there to be answered
				x.s.Stats.Left.Add(1)
				a.cancel()
			}
			return nil, x.stream.Context().Err()
		}
	}
}

// final gives a request's final answer to a stream that waits for it.
func (x *exchange) final(a *ask) error {
	switch {
	case errors.Is(a.err, engine.ErrRetired), a.err == nil && a.answer.Verdict == engine.Rejected:
		after := a.answer.RetryAfter
		if a.err != nil {
			after = x.to.MaxRetryAfter
		}
		return x.refuse(after)
	case a.err == nil && a.answer.Verdict == engine.Served:
		return x.conflict(http.StatusConflict, "the request was answered")
	}
	return x.fail()
}

// name is the reply that names a server. The field is set over whatever the client sent under its
// name; the rest of its fields stay.
func (x *exchange) name(address string) *pb.ProcessingResponse {
	before, mutation := x.req.Header, &pb.HeaderMutation{}
	if x.to.Request != nil {
		after := before.Clone()
		x.to.Request.Apply(after)
		mutation = difference(before, after)
	}
	mutation.SetHeaders = append(mutation.SetHeaders, &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: EndpointHeader, RawValue: []byte(address)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	})
	if len(before["X-Request-Id"]) == 0 {
		mutation.SetHeaders = append(mutation.SetHeaders, &corev3.HeaderValueOption{
			Header: &corev3.HeaderValue{Key: "x-request-id", RawValue: []byte(x.terms.ID)},
		})
	}
	r := x.machine.Pass(x.msg, RequestHead)
	r.GetRequestHeaders().Response.HeaderMutation = mutation
	r.DynamicMetadata = &structpb.Struct{Fields: map[string]*structpb.Value{
		MetadataNamespace: structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			EndpointHeader: structpb.NewStringValue(address),
		}}),
	}}
	if m := x.machine.RequestMode; x.s.Override && m != modeNone && m != modeUnknown && m != modeDuplex && m != modeGRPC {
		// Bodies are of no use here.
		r.ModeOverride = &filterv3.ProcessingMode{
			RequestBodyMode: modeNone, ResponseBodyMode: modeNone, ResponseHeaderMode: filterv3.ProcessingMode_SEND,
		}
	}
	return r
}

// hear passes what follows on and tells the outcome as soon as it is known.
func (x *exchange) hear(a *ask, o *offer) error {
	for {
		kind, _, err := x.next()
		if err != nil {
			// The caller's end without a word of the server's: a failure of that one's where the
			// caller ended the exchange in order, else it says nothing of it. It may have run.
			if errors.Is(err, io.EOF) {
				a.tell(o, policy.Reset)
			} else {
				a.tell(o, policy.Cancelled)
			}
			return err
		}
		reply := x.machine.Pass(x.msg, kind)
		switch kind {
		case Nothing:
			continue
		case ResponseHead:
			status, err := x.outcome(o)
			if err != nil {
				a.tell(o, policy.Cancelled)
				return err
			}
			a.tell(o, status)
			x.edit(reply)
		case ResponseBody, ResponseTrailers:
			a.tell(o, policy.OK) // their head was not sent (response_header_mode SKIP)
		}
		if err := x.send(reply); err != nil {
			return err
		}
	}
}

// edit changes the fields of an answer as the route wants it.
func (x *exchange) edit(reply *pb.ProcessingResponse) {
	if x.to.Response == nil {
		return
	}
	h, err := readHead(x.msg.GetResponseHeaders().GetHeaders(), x.s.Head)
	if err != nil {
		return // it was read before
	}
	after := h.fields.Clone()
	x.to.Response.Apply(after)
	reply.GetResponseHeaders().Response.HeaderMutation = difference(h.fields, after)
}

// outcome reads what an answer's head says of the attempt.
func (x *exchange) outcome(o *offer) (policy.Status, error) {
	h, err := readHead(x.msg.GetResponseHeaders().GetHeaders(), x.s.Head)
	if err != nil {
		return 0, err
	}
	code, err := strconv.Atoi(h.status)
	if err != nil || code < 100 || code > 599 {
		return 0, errors.New("response_headers: :status is missing or malformed")
	}
	to, details := x.told()
	if to != "" && to != o.address {
		x.s.Stats.Strays.Add(1)
		x.s.Log.Warn("caller used another endpoint than the selected one", "given", o.address, "sent", to, "request", x.terms.ID)
		return policy.Cancelled, nil // says nothing of the one that was named
	}
	return Outcome(code, h.fields, details), nil
}

// told is what the caller says of its send: the server's address and how it went, as far as it was
// set to (request_attributes, response_attributes; metadata of MetadataNamespace).
func (x *exchange) told() (address, details string) {
	for _, attributes := range x.msg.GetAttributes() {
		fields := attributes.GetFields()
		if v := fields["upstream.address"].GetStringValue(); v != "" {
			address = v
		}
		if v := fields["response.code_details"].GetStringValue(); v != "" {
			details = v
		}
	}
	if m := x.msg.GetMetadataContext().GetFilterMetadata()[MetadataNamespace]; m != nil {
		if v := m.GetFields()[servedHeader].GetStringValue(); v != "" {
			address = v
		}
	}
	return address, details
}

// Outcome tells what a caller's answer says of the server it was sent to. details is Envoy's
// response.code_details, "" where it is not told: then a 503 of the caller's own making passes for
// the server's, which may have run all the same.
//
//	no connection        upstream_reset_before_response_started{connection_failure...}  never sent
//	a reset              upstream_reset_before_response_started{...}                    may have run
//	the caller's time    response_timeout, upstream_per_try_timeout                     may have run
//	no server            no_healthy_upstream, cluster_not_found, ...overflow            never sent
func Outcome(code int, h http.Header, details string) policy.Status {
	switch {
	case strings.HasPrefix(details, "upstream_reset_before_response_started{") && (strings.Contains(details, "connection_failure") ||
		strings.Contains(details, "connection_timeout") || strings.Contains(details, "overflow")):
		return policy.ConnectFailed
	case strings.HasPrefix(details, "upstream_reset"):
		return policy.Reset
	case strings.HasSuffix(details, "response_timeout"), strings.HasSuffix(details, "per_try_timeout"), strings.HasSuffix(details, "max_duration_timeout"):
		return policy.Timeout
	case details == "no_healthy_upstream", details == "cluster_not_found", details == "maintenance_mode", strings.HasSuffix(details, "overflow"):
		return policy.ConnectFailed
	case code >= 500:
		return h1client.FailureStatus(&http.Response{StatusCode: code, Header: h})
	}
	return policy.OK
}
