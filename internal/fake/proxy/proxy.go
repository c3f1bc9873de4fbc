// Package proxy is a fake proxy that consults an external processor (envoy.service.ext_proc.v3) for each request, as the
// protocol prescribes, and can inject faults. It speaks HTTP to its clients and its upstreams.
//
//   - proxy.go: the proxy and its retries
//   - exchange.go: one stream to the processor
//   - upstream.go: the request to the endpoint that the processor picked, and the report of its response
//   - headers.go: header maps, and the processor's header mutations
package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	"google.golang.org/grpc"
)

// defaultTimeout is the timeout of client requests without a valid header X-Timeout-Ms.
const defaultTimeout = 30 * time.Second

// Fault is a fault of the proxy or of its client in one request.
type Fault string

// The faults.
const (
	None                     Fault = ""
	DisconnectBeforeDecision Fault = "client disconnects before the decision"
	DisconnectAfterDecision  Fault = "client disconnects after the decision"
	NoResponseHeaders        Fault = "proxy never reports the response headers"
	OtherServer              Fault = "proxy sends to another server than the picked one"
	HalfCloseStream          Fault = "proxy half-closes the stream without sending the request"
)

// Proxy is a fake proxy with an external processor. Its fields must be set before the first call of Do or ServeHTTP. Its
// methods are safe for concurrent use.
type Proxy struct {
	Conn        grpc.ClientConnInterface             // connection to the processor
	BodyMode    filterv3.ProcessingMode_BodySendMode // how request bodies are sent to the processor
	Retries     int                                  // maximum number of retries of a request, each on a new stream
	OtherServer string                               // the address that the fault OtherServer sends to
	// OnSend, if not nil, is called before each request to an upstream with the upstream's address.
	OnSend func(address string, at time.Time)

	upstream http.Transport
}

// Request is a client's request.
type Request struct {
	Method, Path string
	Header       http.Header
	Body         []byte
	Timeout      time.Duration // bounds the request with all its retries
	Fault        Fault
}

// Result is the response to a client's request, or the reason why there is none.
type Result struct {
	Status      int // 0 if there is no response, since the client or the exchange ended first
	Header      http.Header
	Body        []byte
	ByProcessor bool      // whether the response came from the processor instead of an upstream of the proxy
	Truncated   bool      // whether the body ended with an error
	BegunAt     time.Time // when the head of the processor's response came; zero if there was none
	Servers     []string  // addresses of the picked endpoints, in order of the attempts
	Err         error
}

// Close closes the idle connections to upstreams.
func (p *Proxy) Close() { p.upstream.CloseIdleConnections() }

// ServeHTTP answers a client's request. It aborts the connection if there is no complete response.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := Request{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body, Timeout: defaultTimeout}
	if ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms")); err == nil {
		q.Timeout = time.Duration(ms) * time.Millisecond
	}
	result := p.Do(r.Context(), q)
	if result.Status == 0 || result.Truncated {
		panic(http.ErrAbortHandler)
	}
	for name, values := range result.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(result.Status)
	w.Write(result.Body)
}

// Do processes a client's request with up to Retries retries, and returns the result of the last attempt with the
// endpoints of all attempts.
func (p *Proxy) Do(ctx context.Context, q Request) (result Result) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		before := result.Servers
		var retry bool
		result, retry = p.attempt(ctx, q, attempt)
		result.Servers = append(before, result.Servers...)
		if !retry || attempt > p.Retries {
			return result
		}
	}
}

// attempt makes one attempt of a request on a new stream to the processor. retry reports whether the proxy may retry the
// request.
func (p *Proxy) attempt(ctx context.Context, q Request, attempt int) (result Result, retry bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x, err := p.newExchange(ctx, cancel, q)
	if err != nil {
		return Result{Err: err}, false
	}
	retry, x.result.Err = x.run(attempt)
	return x.result, retry
}
