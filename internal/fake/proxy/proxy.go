// Package proxy is a stand-in for a proxy that asks an external processor (envoy.service.ext_proc.v3) about each of its
// requests, as the protocol prescribes, and misbehaves on request. It speaks HTTP to its clients and its upstreams.
//
//   - proxy.go: the proxy and its retries
//   - exchange.go: one stream to the processor
//   - upstream.go: the request to the endpoint that the processor picked, and the report of its response
//   - headers.go: header maps, and the processor's changes of headers
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

// defaultTimeout is of client requests without X-Timeout-Ms.
const defaultTimeout = 30 * time.Second

// Fault is a fault of a proxy or of its client.
type Fault string

// The faults.
const (
	None                     Fault = ""
	DisconnectBeforeDecision Fault = "leaves before the decision"
	DisconnectAfterDecision  Fault = "leaves after the decision"
	NoResponseHeaders        Fault = "never tells what came of it"
	OtherServer              Fault = "sends to another server"
	HalfCloseStream          Fault = "ends the exchange without a response"
)

// Proxy is a proxy with an external processor. Its fields are set before the first Do; its methods are safe for
// concurrent use.
type Proxy struct {
	Conn        grpc.ClientConnInterface             // to the processor
	BodyMode    filterv3.ProcessingMode_BodySendMode // of request bodies
	Retries     int                                  // of its own at most, each on a stream of its own
	OtherServer string                               // the address that the fault OtherServer sends to
	// OnSend is called before each request to an upstream, with its address; nil: not at all.
	OnSend func(address string, at time.Time)

	upstream http.Transport
}

// Request is a client's request.
type Request struct {
	Method, Path string
	Header       http.Header
	Body         []byte
	Timeout      time.Duration // of the request with its retries, and so of each stream
	Fault        Fault
}

// Result is what the client of a request gets.
type Result struct {
	Status      int // 0: none, since the client or the exchange ended before
	Header      http.Header
	Body        []byte
	ByProcessor bool     // the processor gave the response, or forwarded it
	Truncated   bool     // the body ended with an error
	Servers     []string // the endpoints that were picked, in order
	Err         error
}

// Close closes the idle connections to upstreams.
func (p *Proxy) Close() { p.upstream.CloseIdleConnections() }

// ServeHTTP answers a client's request. It breaks the connection if there is no complete response.
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

// Do answers a client's request.
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

// attempt asks the processor about a request, and answers it. retry reports that the proxy may retry it.
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
