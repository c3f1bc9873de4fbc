package extproc_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"

	"yokestall/internal/fake/proxy"
	"yokestall/internal/testutil"
)

// firstState is the state of the first of two requests when the second request arrives. Its values are parts of the names
// of subtests.
type firstState string

const (
	firstInFlight  firstState = "open"
	firstAnswered  firstState = "answered"
	firstFailed    firstState = "failed"          // the endpoint closed the connection without a response
	firstNeverSent firstState = "refused"         // the endpoint refused the connection
	firstDiffers   firstState = "another request" // answered, and the second request has another path
)

// duplicateCase is a request that is sent twice.
type duplicateCase struct {
	path      string // with /push/ the class is idempotent by key, with /pay/ not idempotent
	anotherID bool   // the second request has another id than the first
	first     firstState
	want      int // status of the answer to the second request; 0: the request is admitted
}

// name returns the name of the case's subtest.
func (c duplicateCase) name() string {
	identity := "same id"
	if c.anotherID {
		identity = "same key, another id"
	}
	return strings.Join([]string{c.path, identity, string(c.first)}, ", ")
}

// duplicateTest is a processor in front of one endpoint, and a caller that sends a request twice.
type duplicateTest struct {
	*testing.T
	duplicateCase
	rig     *rig
	caller  *proxy.Proxy
	backend *testutil.Backend // holds its answers until release is called
	release func()
	answer  chan proxy.Result // receives the answer to the first request
}

func newDuplicateTest(t *testing.T, c duplicateCase) *duplicateTest {
	d := &duplicateTest{T: t, duplicateCase: c, answer: make(chan proxy.Result, 1)}
	hold := make(chan struct{})
	d.release = sync.OnceFunc(func() { close(hold) })
	d.backend = testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-hold
		if c.first == firstFailed {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, "done "+r.Header.Get("X-Request-Id"))
	})
	t.Cleanup(d.release)
	address := d.backend.Addr()
	if c.first == firstNeverSent {
		address = testutil.RefusingAddr(t)
	}
	d.rig = startProcessor(t, []string{address})
	d.caller = &proxy.Proxy{Conn: d.rig.conn, BodyMode: filterv3.ProcessingMode_BUFFERED}
	t.Cleanup(d.caller.Close)
	return d
}

// request returns a request with the id, and with an idempotency key if its class is idempotent by key.
func (d *duplicateTest) request(id string) proxy.Request {
	r := proxy.Request{
		Method:  "POST",
		Path:    d.path,
		Body:    []byte("b"),
		Timeout: 3 * time.Second,
		Header:  http.Header{"X-Request-Id": {id}},
	}
	if strings.Contains(d.path, "push") {
		r.Header.Set("Idempotency-Key", "k")
	}
	return r
}

// sendFirst sends the first request and brings it into its state.
func (d *duplicateTest) sendFirst() {
	go func() { d.answer <- d.caller.Do(d.Context(), d.request("one")) }()
	if d.first != firstNeverSent {
		testutil.Wait(d, d.backend.Requests, "the first request at its endpoint")
	}
	if d.first == firstInFlight {
		return
	}
	d.release()
	one := testutil.Wait(d, d.answer, "the answer to the first request")
	want := map[firstState]int{firstNeverSent: 503, firstFailed: 502}[d.first]
	if want != 0 && one.Status != want && one.Status != 503 || one.Status == 0 {
		d.Fatalf("answer to the first request: %+v, want status %d (0: any) or 503", one, want)
	}
	testutil.Until(d, "the end of the first request", func() bool { return d.rig.server.InFlight() == 0 })
}

// sendSecond sends the second request and returns its answer. If the first request is in flight, it stays so until the
// second one has joined it or, if the second one is not expected to join, until the second one is answered.
func (d *duplicateTest) sendSecond() proxy.Result {
	r := d.request("one")
	if d.anotherID {
		r = d.request("two")
	}
	if d.first == firstDiffers {
		r.Path += "other"
	}
	second := make(chan proxy.Result, 1)
	go func() { second <- d.caller.Do(d.Context(), r) }()
	switch {
	case d.first != firstInFlight:
	case d.want == 200:
		joined := func() bool { return d.rig.server.Stats.Duplicates.Load() == 1 }
		testutil.Until(d, "the second request to join the first", joined)
	default:
		return testutil.Wait(d, second, "the answer to the second request while the first is in flight")
	}
	d.release()
	return testutil.Wait(d, second, "the answer to the second request")
}

// checkSecond checks the answer to the second request, and that the request has not reached the endpoint unless it was
// admitted.
func (d *duplicateTest) checkSecond(two proxy.Result) {
	switch {
	case d.want == 0 && (two.Status == 409 || two.Status == 422), d.want != 0 && two.Status != d.want:
		d.Errorf("answer to the second request: %+v %q, want status %d (0: any but 409 and 422)", two, two.Body, d.want)
	case d.want == 200 && (string(two.Body) != "done one" || two.Header.Get("Idempotent-Replayed") != "true"):
		d.Errorf("answer to the second request: %+v %q, want the first one's with Idempotent-Replayed", two, two.Body)
	}
	if n := len(d.backend.Requests); d.want != 0 && n > 0 {
		d.Errorf("%d requests reached the endpoint after the first, want 0", n)
	}
}

// TestDuplicateRequests checks the answer to the second of two streams for the same request, depending on the mode, the
// class, the identity and the state of the first one. A request that may have run must not reach an endpoint twice.
func TestDuplicateRequests(t *testing.T) {
	for _, c := range []duplicateCase{
		{path: "/push/x", first: firstInFlight, want: 200},
		{path: "/push/x", anotherID: true, first: firstInFlight, want: 200},
		{path: "/push/x", first: firstAnswered, want: 200},
		{path: "/push/x", anotherID: true, first: firstAnswered, want: 200},
		{path: "/push/x", anotherID: true, first: firstDiffers, want: 422},
		{path: "/push/x", anotherID: true, first: firstFailed},
		{path: "/push/x", anotherID: true, first: firstNeverSent},
		{path: "/pay/x", first: firstInFlight, want: 409},
		{path: "/pay/x", first: firstAnswered, want: 200},
		{path: "/pay/x", first: firstFailed, want: 409},
		{path: "/pay/x", first: firstNeverSent},
		{path: "/pick/push/x", first: firstInFlight, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstInFlight, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstAnswered, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstFailed, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstNeverSent},
		{path: "/pick/pay/x", first: firstInFlight, want: 409},
		{path: "/pick/pay/x", first: firstAnswered, want: 409},
		{path: "/pick/pay/x", first: firstFailed, want: 409},
		{path: "/pick/pay/x", first: firstNeverSent},
		{path: "/pick/x", first: firstInFlight, want: 409},
		{path: "/pick/x", first: firstAnswered},
	} {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			d := newDuplicateTest(t, c)
			d.sendFirst()
			d.checkSecond(d.sendSecond())
			d.release()
			if c.first != firstInFlight {
				return
			}
			if one := testutil.Wait(t, d.answer, "the answer to the first request"); one.Status != 200 {
				t.Errorf("answer to the first request: %+v, want status 200", one)
			}
		})
	}
}
