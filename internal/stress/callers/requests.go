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
	// callerTimeout is the timeout of a caller. It is longer than the deadline of every class, so that the result does
	// not depend on the speed of this process. The rig checks deadlines where the processor picks an endpoint.
	callerTimeout = 30 * time.Second

	// neverReportTimeout is the time after which a caller that never reports an outcome ends its stream.
	neverReportTimeout = 50 * time.Millisecond

	// maxBody is the maximum size of a request body in bytes.
	maxBody = 3000

	// duplicateSuffix is the suffix of the ID of a duplicate that shares only the idempotency key with the original
	// request. The ID without the suffix is that of the original request.
	duplicateSuffix = ".2"
)

// requestKind is a kind of request. The ID of a request begins with the name of its kind.
type requestKind struct {
	path, name string
}

// requestKinds has a kind for each effect: safe, keyed (idempotent by key) and unsafe (not idempotent).
var requestKinds = []requestKind{{"/", kindRead}, {"/push/", kindPush}, {"/pay/", kindPay}}

// Names of request kinds.
const (
	kindRead = "read"
	kindPush = "push"
	kindPay  = "pay"
)

// proxyFaults are the faults from which the rig chooses at random for a tenth of the requests.
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

// send sends the n-th request and records the outcome. In a fifth of the cases, it also tries to create a duplicate and
// sends that concurrently.
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

// randomRequest returns a random request with the number n in its ID, and the name of its kind.
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
	if rng.IntN(10) == 0 { // a short deadline, which expires while the caller still waits
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

// randomDuplicate returns a duplicate of a request. The duplicate has the same ID or, for half of the requests with an
// idempotency key, the same key and another ID. ok is false for half of the safe requests, which get no duplicate.
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

// recordOutcome counts the final answer to a request and checks that the answer belongs to this request.
func (r *rig) recordOutcome(result proxy.Result, request proxy.Request) {
	// A Retry-After header allows a retry whatever the status, because the answer may come from a server. A caller that
	// disconnected may have been sent this header too.
	if result.Header.Get("Retry-After") != "" || result.Status == 0 {
		r.mu.Lock()
		r.retryAllowed[request.Header.Get("Idempotency-Key")] = true
		r.mu.Unlock()
	}
	id := request.Header.Get("X-Request-Id")
	switch {
	case result.Status == 0 && request.Fault == proxy.None:
		r.report("request %s %s got no final answer: %v", id, request.Path, result.Err)
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
			r.report("request %s got the answer to another request: %q", id, result.Body)
		}
	default:
		r.failed.Add(1)
	}
}
