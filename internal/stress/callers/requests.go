package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"yokestall/internal/fake/proxy"
)

const (
	// callerTimeout is longer than every class's deadline: whether an answer is in time is checked where it is
	// given, and does not depend on how fast this process is.
	callerTimeout = 30 * time.Second

	// neverReportTimeout ends the stream of a caller that never reports an outcome.
	neverReportTimeout = 50 * time.Millisecond

	// maxBody is the size of the largest request body in bytes.
	maxBody = 3000

	// duplicateSuffix ends the id of a request that has another one's idempotency key and an id of its own.
	duplicateSuffix = ".2"
)

// requestKind is a kind of request. Requests' ids start with their kind.
type requestKind struct {
	path, name string
}

// requestKinds has a kind for each effect: safe, idempotent with a key, and unsafe.
var requestKinds = []requestKind{{"/", kindRead}, {"/push/", kindPush}, {"/pay/", kindPay}}

// Names of request kinds.
const (
	kindRead = "read"
	kindPush = "push"
	kindPay  = "pay"
)

// proxyFaults are the faults that a proxy draws from.
var proxyFaults = []proxy.Fault{
	proxy.DisconnectBeforeDecision,
	proxy.DisconnectAfterDecision,
	proxy.NoResponseHeaders,
	proxy.OtherServer,
	proxy.HalfCloseStream,
}

// sendRequests sends all requests through the proxies and waits for their answers.
func (r *rig) sendRequests(ctx context.Context, addr string) error {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	var proxies []*proxy.Proxy
	for i, mode := range []filterv3.ProcessingMode_BodySendMode{
		filterv3.ProcessingMode_BUFFERED, filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
		filterv3.ProcessingMode_BUFFERED_PARTIAL, filterv3.ProcessingMode_NONE,
	} {
		p := &proxy.Proxy{Conn: conn, BodyMode: mode, Retries: i % 2, OtherServer: r.wrongServer.Addr()}
		defer p.Close()
		proxies = append(proxies, p)
	}
	var sent atomic.Int64
	var callers sync.WaitGroup
	for caller := range r.Callers {
		rng := rand.New(rand.NewPCG(2, uint64(caller)))
		callers.Go(func() {
			for ctx.Err() == nil {
				n := sent.Add(1)
				if n > int64(r.Requests) {
					return
				}
				r.send(ctx, rng, proxies, n)
			}
		})
	}
	callers.Wait()
	return ctx.Err()
}

// send sends the n-th request, in a fifth of the cases with a duplicate beside it, and records the outcomes.
func (r *rig) send(ctx context.Context, rng *rand.Rand, proxies []*proxy.Proxy, n int64) {
	p := proxies[rng.IntN(len(proxies))]
	request, kind := randomRequest(rng, p.BodyMode, n)
	var duplicates sync.WaitGroup
	if rng.IntN(5) == 0 {
		if duplicate, ok := randomDuplicate(rng, request, kind); ok {
			duplicates.Go(func() { r.recordOutcome(p.Do(ctx, duplicate), duplicate) })
		}
	}
	r.recordOutcome(p.Do(ctx, request), request)
	duplicates.Wait()
}

// randomRequest returns the n-th request and the name of its kind.
func randomRequest(rng *rand.Rand, mode filterv3.ProcessingMode_BodySendMode, n int64) (proxy.Request, string) {
	kind := requestKinds[rng.IntN(len(requestKinds))]
	path := kind.path
	if rng.IntN(2) == 0 {
		path = "/pick" + path
	}
	id := fmt.Sprintf("%s-%d", kind.name, n)
	request := proxy.Request{
		Method: http.MethodPost, Path: path + "x", Timeout: callerTimeout, Header: http.Header{"X-Request-Id": {id}},
	}
	if mode == filterv3.ProcessingMode_NONE {
		request.Method = http.MethodGet
	} else {
		request.Body = []byte(strings.Repeat("b", 1+rng.IntN(maxBody)))
	}
	if kind.name == kindPush {
		request.Header.Set("Idempotency-Key", id)
	}
	if rng.IntN(10) == 0 { // a deadline so short that the caller, which waits longer, sees what comes after it
		request.Header.Set("X-Timeout-Ms", fmt.Sprint(11+rng.IntN(10)))
	}
	if rng.IntN(10) == 0 {
		request.Fault = proxyFaults[rng.IntN(len(proxyFaults))]
		if request.Fault == proxy.NoResponseHeaders {
			request.Timeout = neverReportTimeout
		}
	}
	return request, kind.name
}

// randomDuplicate returns a duplicate of a request: one with the same id or, if it has an idempotency key, one with
// the same key and another id. Of safe requests only half have a duplicate.
func randomDuplicate(rng *rand.Rand, request proxy.Request, kind string) (duplicate proxy.Request, ok bool) {
	duplicate = request
	duplicate.Header = request.Header.Clone()
	duplicate.Fault = proxy.None
	duplicate.Timeout = callerTimeout
	if kind == kindPush && rng.IntN(2) == 0 {
		duplicate.Header.Set("X-Request-Id", request.Header.Get("X-Request-Id")+duplicateSuffix)
	}
	return duplicate, kind != kindRead || rng.IntN(2) == 0
}

// recordOutcome counts a request's final answer and checks that it is the request's own.
func (r *rig) recordOutcome(result proxy.Result, request proxy.Request) {
	// A Retry-After counts with any status, which may be a server's own answer. A caller that disconnected may have
	// been sent one too.
	if result.Header.Get("Retry-After") != "" || result.Status == 0 {
		r.mu.Lock()
		r.retryAllowed[request.Header.Get("Idempotency-Key")] = true
		r.mu.Unlock()
	}
	id := request.Header.Get("X-Request-Id")
	switch {
	case result.Status == 0 && request.Fault == proxy.None:
		r.report("%s %s: no final answer: %v", id, request.Path, result.Err)
	case result.Status == 0, request.Fault != proxy.None && result.Err != nil:
		r.disconnected.Add(1)
	case result.Status == http.StatusConflict:
		r.conflicts.Add(1)
	case result.Status == http.StatusServiceUnavailable:
		r.rejected.Add(1)
	case result.Status == http.StatusOK:
		r.served.Add(1)
		original, _, _ := strings.Cut(id, ".")
		if request.Fault != proxy.OtherServer && !strings.Contains(string(result.Body), " served "+original) {
			r.report("%s got another one's answer: %q", id, result.Body)
		}
	default:
		r.failed.Add(1)
	}
}
