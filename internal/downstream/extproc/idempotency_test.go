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

// Two streams about the same request: what the second one gets, by mode, class, identity and the first one's outcome.
// No endpoint gets the effect twice.
func TestAskedTwice(t *testing.T) {
	const same, other = "same id", "same key, another id"
	for _, tc := range []struct {
		path, as, when string
		code           int // of the second; 0: it is decided on anew
	}{
		{"/push/x", same, "open", 200}, {"/push/x", other, "open", 200}, // joins
		{"/push/x", same, "answered", 200}, {"/push/x", other, "answered", 200}, // the first one's answer
		{"/push/x", other, "another request", 422},
		{"/push/x", other, "failed", 0}, {"/push/x", other, "refused", 0},
		{"/pay/x", same, "open", 409}, {"/pay/x", same, "answered", 200},
		{"/pay/x", same, "failed", 409}, {"/pay/x", same, "refused", 0},
		{"/pick/push/x", same, "open", 409}, {"/pick/push/x", other, "open", 409},
		{"/pick/push/x", other, "answered", 409},
		{"/pick/push/x", other, "failed", 409}, {"/pick/push/x", other, "refused", 0},
		{"/pick/pay/x", same, "open", 409}, {"/pick/pay/x", same, "answered", 409},
		{"/pick/pay/x", same, "failed", 409}, {"/pick/pay/x", same, "refused", 0},
		{"/pick/x", same, "open", 409}, {"/pick/x", same, "answered", 0},
	} {
		t.Run(strings.Join([]string{tc.path, tc.as, tc.when}, ", "), func(t *testing.T) {
			t.Parallel()
			hold := make(chan struct{})
			let := sync.OnceFunc(func() { close(hold) })
			b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
				<-hold
				if tc.when == "failed" {
					panic(http.ErrAbortHandler)
				}
				io.WriteString(w, "done "+r.Header.Get("X-Request-Id"))
			})
			t.Cleanup(let)
			addrs := []string{b.Addr()}
			if tc.when == "refused" {
				addrs = []string{testutil.RefusingAddr(t)}
			}
			r := start(t, addrs)
			p := &proxy.Proxy{Conn: r.conn, Mode: filterv3.ProcessingMode_BUFFERED}
			defer p.Close()
			a := proxy.Ask{
				Method: "POST", Path: tc.path, Body: []byte("b"), Timeout: 3 * time.Second,
				Header: http.Header{"X-Request-Id": {"one"}},
			}
			if strings.Contains(tc.path, "push") {
				a.Header.Set("Idempotency-Key", "k")
			}
			first := make(chan proxy.Result, 1)
			go func() { first <- p.Do(t.Context(), a) }()
			if tc.when != "refused" {
				testutil.Wait(t, b.Requests, "the first at its server")
			}
			if tc.when != "open" {
				let()
				one := testutil.Wait(t, first, "the first's answer")
				want := map[string]int{"refused": 503, "failed": 502}[tc.when]
				if want != 0 && one.Status != want && one.Status != 503 || one.Status == 0 {
					t.Fatalf("the first: %+v", one)
				}
				testutil.Until(t, "the first's end", func() bool { return r.server.InFlight() == 0 })
			}
			a.Header = a.Header.Clone()
			if tc.as == other {
				a.Header.Set("X-Request-Id", "two")
			}
			if tc.when == "another request" {
				a.Path += "other"
			}
			second := make(chan proxy.Result, 1)
			go func() { second <- p.Do(t.Context(), a) }()
			if tc.when == "open" && tc.code == 200 { // it waits for the first
				testutil.Until(t, "the second to join", func() bool { return r.server.Stats.Duplicates.Load() == 1 })
			}
			if tc.when == "open" && tc.code != 200 { // it does not wait
				two := testutil.Wait(t, second, "the second's answer")
				second <- two
			}
			let()
			two := testutil.Wait(t, second, "the second's answer")
			switch {
			case tc.code == 0 && (two.Status == 409 || two.Status == 422), tc.code != 0 && two.Status != tc.code:
				t.Errorf("the second: %+v %q", two, two.Body)
			case tc.code == 200 && (string(two.Body) != "done one" || two.Header.Get("Idempotent-Replayed") != "true"):
				t.Errorf("the second: %+v %q", two, two.Body)
			}
			if n := len(b.Requests); tc.code != 0 && n > 0 {
				t.Errorf("%d more reached the server", n)
			}
			if tc.when == "open" {
				if one := testutil.Wait(t, first, "the first's answer"); one.Status != 200 {
					t.Errorf("the first: %+v", one)
				}
			}
		})
	}
}
