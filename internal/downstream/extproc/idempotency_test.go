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

// firstState is the state of the first of two requests when the second one arrives.
type firstState string

const (
	firstInFlight firstState = "open"
	firstAnswered firstState = "answered"
	firstFailed   firstState = "failed"          // its endpoint has closed the connection
	firstUnsent   firstState = "refused"         // its endpoint has refused the connection
	firstDiffers  firstState = "another request" // answered, and not the same request
)

// duplicateCase is a request that is sent twice.
type duplicateCase struct {
	path      string // with /push/ of a class that is idempotent by key, with /pay/ of one that is not idempotent
	anotherID bool   // of the second one, under the same key
	first     firstState
	want      int // status of the second one; 0: it is decided on anew
}

// name returns the name of the case's sub-test.
func (c duplicateCase) name() string {
	identity := "same id"
	if c.anotherID {
		identity = "same key, another id"
	}
	return strings.Join([]string{c.path, identity, string(c.first)}, ", ")
}

// duplicateTest is a processor before one endpoint, and a caller that sends a request twice.
type duplicateTest struct {
	*testing.T
	duplicateCase
	rig     *rig
	caller  *proxy.Proxy
	backend *testutil.Backend // holds its answers until release is called
	release func()
	answer  chan proxy.Result // to the first request
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
	if c.first == firstUnsent {
		address = testutil.RefusingAddr(t)
	}
	d.rig = start(t, []string{address})
	d.caller = &proxy.Proxy{Conn: d.rig.conn, BodyMode: filterv3.ProcessingMode_BUFFERED}
	t.Cleanup(d.caller.Close)
	return d
}

// request returns a request with an id, and with a key where its class takes one.
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
	if d.first != firstUnsent {
		testutil.Wait(d, d.backend.Requests, "the first at its server")
	}
	if d.first == firstInFlight {
		return
	}
	d.release()
	one := testutil.Wait(d, d.answer, "the first's answer")
	want := map[firstState]int{firstUnsent: 503, firstFailed: 502}[d.first]
	if want != 0 && one.Status != want && one.Status != 503 || one.Status == 0 {
		d.Fatalf("the first: %+v", one)
	}
	testutil.Until(d, "the first's end", func() bool { return d.rig.server.InFlight() == 0 })
}

// sendSecond sends the second request and returns its answer. It comes before the first one's unless it joins that.
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
		testutil.Until(d, "the second to join", joined)
	default:
		return testutil.Wait(d, second, "the second's answer")
	}
	d.release()
	return testutil.Wait(d, second, "the second's answer")
}

// checkSecond checks the second request's answer, and that it has not reached the endpoint unless decided on anew.
func (d *duplicateTest) checkSecond(two proxy.Result) {
	switch {
	case d.want == 0 && (two.Status == 409 || two.Status == 422), d.want != 0 && two.Status != d.want:
		d.Errorf("the second: %+v %q", two, two.Body)
	case d.want == 200 && (string(two.Body) != "done one" || two.Header.Get("Idempotent-Replayed") != "true"):
		d.Errorf("the second: %+v %q", two, two.Body)
	}
	if n := len(d.backend.Requests); d.want != 0 && n > 0 {
		d.Errorf("%d more reached the server", n)
	}
}

// TestDuplicateRequests checks what the second of two streams about the same request gets, by mode, class, identity
// and the state of the first one. No endpoint gets the effect twice.
func TestDuplicateRequests(t *testing.T) {
	for _, c := range []duplicateCase{
		{path: "/push/x", first: firstInFlight, want: 200},
		{path: "/push/x", anotherID: true, first: firstInFlight, want: 200},
		{path: "/push/x", first: firstAnswered, want: 200},
		{path: "/push/x", anotherID: true, first: firstAnswered, want: 200},
		{path: "/push/x", anotherID: true, first: firstDiffers, want: 422},
		{path: "/push/x", anotherID: true, first: firstFailed},
		{path: "/push/x", anotherID: true, first: firstUnsent},
		{path: "/pay/x", first: firstInFlight, want: 409},
		{path: "/pay/x", first: firstAnswered, want: 200},
		{path: "/pay/x", first: firstFailed, want: 409},
		{path: "/pay/x", first: firstUnsent},
		{path: "/pick/push/x", first: firstInFlight, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstInFlight, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstAnswered, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstFailed, want: 409},
		{path: "/pick/push/x", anotherID: true, first: firstUnsent},
		{path: "/pick/pay/x", first: firstInFlight, want: 409},
		{path: "/pick/pay/x", first: firstAnswered, want: 409},
		{path: "/pick/pay/x", first: firstFailed, want: 409},
		{path: "/pick/pay/x", first: firstUnsent},
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
			if one := testutil.Wait(t, d.answer, "the first's answer"); one.Status != 200 {
				t.Errorf("the first: %+v", one)
			}
		})
	}
}
