package node

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

// firstFails returns two servers; the one that is sent the first request runs fail.
func firstFails(t *testing.T, fail http.HandlerFunc) []*testutil.Backend {
	var met atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if met.CompareAndSwap(false, true) {
			fail(w, r)
			return
		}
		testutil.OK(w, r)
	}
	return []*testutil.Backend{testutil.NewBackend(t, handle), testutil.NewBackend(t, handle)}
}

func serverError(w http.ResponseWriter, _ *http.Request) { http.Error(w, "oops", 500) }

func rejectRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestRetries(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, class string
		fail        http.HandlerFunc
		sends       int
		status      int
	}{
		{"safe after an error", "read", serverError, 2, 200},
		{"safe after a reset", "read", reset, 2, 200},
		{"keyed after an error", "push", serverError, 2, 200},
		{"keyed after a reset", "push", reset, 2, 200},
		{"unsafe after an error", "pay", serverError, 1, 502},
		{"unsafe after a reset", "pay", reset, 1, 502},
		{"unsafe that was turned away", "pay", rejectRequest, 2, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			bs := firstFails(t, c.fail)
			n, _ := startReady(t, bs...)
			r := n.request(c.class)
			a := n.do(r)
			if sends := len(bs[0].Requests) + len(bs[1].Requests); a.status != c.status || sends != c.sends {
				t.Fatalf("status %d after %d sends, want %d after %d", a.status, sends, c.status, c.sends)
			}
			for _, b := range bs {
				for len(b.Requests) > 0 {
					got := <-b.Requests
					for _, name := range []string{"X-Request-ID", "Idempotency-Key"} {
						if got.Header.Get(name) != r.Header.Get(name) {
							t.Errorf("%s changed to %q", name, got.Header.Get(name))
						}
					}
				}
			}
		})
	}
}

// A server that does not answer must not delay the client's response past its deadline;
// once the client has it, no more is sent and the attempt is cancelled.
func TestUnresponsiveEndpoint(t *testing.T) {
	t.Parallel()
	left := make(chan struct{}, 1)
	b := testutil.NewBackend(t, silent(left))
	n, _ := startReady(t, b)
	r := n.request("pay")
	r.Header.Set("X-Timeout-Ms", "300")
	a := n.do(r)
	if a.status != http.StatusBadGateway || a.took < 200*time.Millisecond {
		t.Errorf("status %d after %v", a.status, a.took)
	}
	testutil.Wait(t, left, "the attempt to be given up")
	if len(b.Requests) != 1 {
		t.Errorf("%d sends", len(b.Requests))
	}
}

// When a server becomes unresponsive a hedged request goes to another one; once that is
// answered the first attempt is cancelled, which closes its connection.
func TestSecondCopyPastASilentServer(t *testing.T) {
	t.Parallel()
	left := make(chan struct{}, 1)
	var quiet atomic.Bool // the next request gets no response
	handle := func(w http.ResponseWriter, r *http.Request) {
		if quiet.CompareAndSwap(true, false) {
			silent(left)(w, r)
			return
		}
		testutil.OK(w, r)
	}
	a, b := testutil.NewBackend(t, handle), testutil.NewBackend(t, handle)
	n, _ := startReady(t, a, b)
	for range 50 { // the policy learns the typical latency
		n.do(n.request("push"))
	}
	quiet.Store(true)
	before := len(a.Requests) + len(b.Requests)
	if r := n.do(n.request("push")); r.status != http.StatusOK {
		t.Fatalf("status %d", r.status)
	}
	testutil.Wait(t, left, "the silent attempt to be given up")
	// On a busy machine the second may seem unresponsive too; the policy's tests bound the number of attempts.
	if sends := len(a.Requests) + len(b.Requests) - before; sends < 2 || sends > 3 {
		t.Errorf("%d sends, want 2, or 3 at most", sends)
	}
}

// The server closes a connection after its response without announcing it. A request
// written to it would be lost if it is not idempotent.
func TestStaleIdleConnection(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{}, 10)
	b := testutil.NewBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
		nc.Close()
		closed <- struct{}{}
	})
	n, _ := startReady(t, b)
	for range 5 {
		if a := n.do(n.request("pay")); a.status != http.StatusOK {
			t.Fatalf("status %d", a.status)
		}
		testutil.Wait(t, closed, "the server's close")
	}
}

// With every breaker open, requests are rejected at once with Retry-After.
func TestEveryServerDown(t *testing.T) {
	t.Parallel()
	d := newFakeDiscovery(t, discovery.Instance{
		InstanceID: "s-0", HostPort: testutil.RefusingAddr(t), Zone: "a", Lifecycle: "Ready", Weight: 1,
	})
	n := start(t, testConfig(t, d, nil))
	n.waitReady(http.StatusOK)
	for try := range 60 {
		r := n.request("push")
		if try%6 != 5 {
			r.Header.Set("X-Timeout-Ms", "300") // no time for a retry: it opens the breaker
		}
		a := n.do(r)
		if a.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", a.status)
		}
		if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || s <= 0 || s > 0.6 {
			t.Errorf("Retry-After %q", a.header.Get("Retry-After"))
		}
		if try%6 == 5 && a.took < time.Second {
			return
		}
	}
	t.Error("never refused at once")
}

// An unsolicited response may arrive some milliseconds after a response, and nothing in it names its request: a
// connection is not reused before that time is over. The gap is taken at the server, from before its response: a
// slow machine makes it only longer.
func TestConnectionsRestBehindAnAnswer(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	answered := map[string]time.Time{}
	reused := 0
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		if at, again := answered[r.RemoteAddr]; again {
			reused++
			if gap := now.Sub(at); gap < unsolicitedResponsePeriod {
				t.Errorf("the next request comes %v behind an answer", gap)
			}
		}
		if r.URL.Path == "/read" {
			time.Sleep(patientParts * unsolicitedResponsePeriod) // long enough that waiting for its connection pays
		}
		answered[r.RemoteAddr] = time.Now()
		testutil.OK(w, r)
	})
	n, _ := startReady(t, b)
	for _, class := range []string{"read", "read", "pay", "pay", "read", "pay", "read"} {
		if a := n.do(n.request(class)); a.status != http.StatusOK {
			t.Errorf("status %d", a.status)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if reused == 0 {
		t.Error("no connection was used again")
	}
}
