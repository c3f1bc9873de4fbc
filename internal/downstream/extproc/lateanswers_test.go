package extproc_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/stress/shapes"
	"yokestall/internal/testutil"
)

// shapeClasses are the classes of callers.Program whose requests the processor forwards.
var shapeClasses = []shapes.Class{{Name: "read", Method: http.MethodGet}, {Name: "pay/x", Method: http.MethodPost}}

// finalAnswerSlack is how much later than its time a request may get its final answer.
const finalAnswerSlack = 500 * time.Millisecond

// bodyModes are the body modes of callers whose requests have bodies.
var bodyModes = []filterv3.ProcessingMode_BodySendMode{
	filterv3.ProcessingMode_BUFFERED, filterv3.ProcessingMode_BUFFERED_PARTIAL, filterv3.ProcessingMode_FULL_DUPLEX_STREAMED,
}

// forModes runs check for each of the body modes of a caller, with hedged requests allowed and not, in front of endpoints that do
// what the shape in a request's query says.
func forModes(t *testing.T, modes []filterv3.ProcessingMode_BodySendMode, check func(t *testing.T, p *proxy.Proxy)) {
	for _, mode := range modes {
		for _, hedging := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, hedging %v", mode, hedging), func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				t.Cleanup(func() { close(ended) })
				var addrs []string
				for i := range 6 {
					serve := shapes.ServeByTurns(i)
					addrs = append(addrs, testutil.Accept(t, func(nc net.Conn) { serve(nc, ended) }))
				}
				r := startProcessor(t, addrs, "attempts = 3", fmt.Sprintf("attempts = 3\nsecond_copies = %v", hedging))
				p := &proxy.Proxy{Conn: r.conn, BodyMode: mode}
				t.Cleanup(p.Close)
				for i := range 30 { // the processor learns how long the endpoints take
					p.Do(t.Context(), shapeRequest(shapes.Plain(shapeClasses[i%2]), fmt.Sprint("first-", i)))
				}
				check(t, p)
			})
		}
	}
}

// shapeRequest returns the request of a shape.
func shapeRequest(s shapes.Shape, id string) proxy.Request {
	return proxy.Request{
		Method: s.Method, Path: s.Target(), Timeout: testutil.WaitTimeout, Body: testutil.Bytes(s.Request.Size),
		Header: http.Header{"X-Request-Id": {id}, "X-Timeout-Ms": {fmt.Sprint(s.Timeout.Milliseconds())}},
	}
}

// checkInTime checks that an answer of the processor came in time, or began in time if it is streamed, and is whole.
func checkInTime(s shapes.Shape, start time.Time, result proxy.Result) error {
	began := result.BegunAt.Sub(start)
	switch {
	case result.Status == 0 || result.Truncated:
		return fmt.Errorf("status %d, cut off %v, error %w", result.Status, result.Truncated, result.Err)
	case began > s.Timeout+finalAnswerSlack:
		return fmt.Errorf("status %d after %v, want a final answer within %v", result.Status, began, s.Timeout)
	case result.Status == http.StatusOK && !bytes.Equal(result.Body, testutil.Bytes(s.Answer.Size)):
		return fmt.Errorf("status 200 with %d bytes, want %d", len(result.Body), s.Answer.Size)
	}
	return nil
}

// checkExchanges runs exchanges, some at the same time, and reports those that break a rule.
func checkExchanges(t *testing.T, p *proxy.Proxy, list []shapes.Shape) {
	t.Helper()
	places := make(chan struct{}, 6)
	var running sync.WaitGroup
	for i, s := range list {
		places <- struct{}{}
		running.Go(func() {
			start := time.Now()
			if err := checkInTime(s, start, p.Do(t.Context(), shapeRequest(s, fmt.Sprint("shape-", i)))); err != nil {
				t.Errorf("%v: %v", s, err)
			}
			<-places
		})
	}
	running.Wait()
}

// Guards against an answer that comes seconds late, or not whole, because its endpoint ends it after the caller's time: a caller
// that accepts streams gets its beginning in time, any other one a whole answer or a refusal.
func TestAnswersThatEndLate(t *testing.T) {
	forModes(t, append(bodyModes, filterv3.ProcessingMode_NONE), func(t *testing.T, p *proxy.Proxy) {
		checkExchanges(t, p, shapes.DrawMany(11, 24, func(random *rand.Rand) shapes.Shape {
			return shapes.LateAnswer(random, shapeClasses)
		}))
	})
}

// Guards against a request that gets its final answer late because its endpoint reads it slowly.
func TestRequestsThatAreReadSlowly(t *testing.T) {
	const most = 900 << 10 // bytes; less than the limit of one message
	forModes(t, bodyModes, func(t *testing.T, p *proxy.Proxy) {
		checkExchanges(t, p, shapes.DrawMany(12, 18, func(random *rand.Rand) shapes.Shape {
			s := shapes.SlowReader(random, shapeClasses[1:])
			s.Request.Size = 10<<10 + random.IntN(most)
			return s
		}))
	})
}
