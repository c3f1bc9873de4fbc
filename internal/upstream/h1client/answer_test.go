package h1client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

func TestOutcomes(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for name, c := range map[string]struct {
		answer string
		close  bool
		status policy.Status
		conns  int // that two attempts take
	}{
		"served":                {good, false, policy.OK, 1},
		"served, chunked":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", false, policy.OK, 1},
		"served, then closed":   {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", true, policy.OK, 2},
		"early hints":           {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good, false, policy.OK, 1},
		"more than the answer":  {good + "rest", false, policy.OK, 2},
		"error":                 {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, policy.ErrorResponse, 1},
		"another status":        {"HTTP/1.1 404 Where\r\nContent-Length: 0\r\n\r\n", false, policy.ErrorResponse, 1},
		"turned away, 503":      {"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, policy.Rejected, 1},
		"turned away, 504":      {"HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, policy.Rejected, 1},
		"503 that promises not": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false, policy.ErrorResponse, 1},
		"reset":                 {"", true, policy.Reset, 2},
		"half a head":           {"HTTP/1.1 200 OK\r\nContent-Le", true, policy.Reset, 2},
		"half a body":           {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", true, policy.Reset, 2},
		"body with no length":   {"HTTP/1.1 200 OK\r\n\r\nhi", true, policy.Reset, 2},
		"noise":                 {"\x00\x01\x02 what\r\n\r\n", false, policy.ErrorResponse, 2},
		"large body":            {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", MaxBody+1, strings.Repeat("x", MaxBody+1)), false, policy.ErrorResponse, 2},
		"noise with no line":    {"\x00\x01\x02", false, policy.ErrorResponse, 2},
		"head without end":      {"HTTP/1.1 200 OK\r\nX-Filler: 1\r\n", false, policy.ErrorResponse, 2},
		"body that stops":       {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"chunks that stop":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, policy.ErrorResponse, 2},
		"said to have 3 GB":     {"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"chunk too large":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi", false, policy.ErrorResponse, 2},
		"two lengths":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"negative length":       {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"length no number":      {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi", false, policy.ErrorResponse, 2},
		"1xx for ever":          {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), false, policy.ErrorResponse, 2},
		"1xx, then nothing":     {"HTTP/1.1 103 Early Hints\r\n\r\nHT", false, policy.ErrorResponse, 2},
		"large head":            {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxAnswerBytes+1), false, policy.ErrorResponse, 2},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := testutil.Script(t, c.answer, c.close)
			u, id := poolTo(addr)
			for range 2 {
				// What is spoilt has to be seen from itself: the call has no deadline that is near.
				ctx, cancel := context.WithTimeout(context.Background(), testutil.Patience)
				status, body := send(ctx, u, id)
				if ctx.Err() != nil {
					t.Error("waited for to the end of the request's time")
				}
				cancel()
				if status != c.status {
					t.Errorf("status %d, want %d", status, c.status)
				}
				if c.status == policy.OK && body != "hi" {
					t.Errorf("body %q", body)
				}
			}
			if len(conns) != c.conns {
				t.Errorf("%d connections, want %d", len(conns), c.conns)
			}
		})
	}
}

// An answer without a length ends with its connection where it says so. Otherwise that may be the end of a part, also
// for a stream.
func TestAnswersWithNoLength(t *testing.T) {
	for head, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n": false, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": true, "HTTP/1.0 200 OK\r\n\r\n": true,
	} {
		for _, length := range []int{2, MaxBody + 1, 4 * MaxBody} {
			t.Run(fmt.Sprintf("%.28q of %d", head, length), func(t *testing.T) {
				addr, _ := testutil.Script(t, head+strings.Repeat("x", length), true)
				u, id := poolTo(addr)
				u.streamLargeBodies = true
				r := &Request{Method: "POST", Target: "/pay", Host: "x", Header: http.Header{}, Body: []byte("b")}
				res := u.Exchange(engine.NewCall(t.Context()), id, r, time.Minute)
				got, err := 0, error(nil)
				if a, ok := res.Answer.(*Answer); ok && a.Stream != nil {
					var body []byte
					body, err = io.ReadAll(a.Stream)
					got = len(body)
					a.Close()
				} else if ok {
					got = len(a.Body)
				}
				if served := res.Status == policy.OK && err == nil; served != whole || served && got != length {
					t.Errorf("taken for whole: %v (status %d, %v), %d bytes of %d", served, res.Status, err, got, length)
				}
			})
		}
	}
}

// With Options.AnyStatus an answer below 500 is served, with its status.
func TestAnyAnswer(t *testing.T) {
	addr, _ := backend(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such room", 404) })
	u := New(Options{EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10, AnyStatus: true})
	u.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	res := u.Exchange(engine.NewCall(t.Context()), 1, &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}, time.Minute)
	if a, ok := res.Answer.(*Answer); !ok || res.Status != policy.OK || a.Status != 404 {
		t.Errorf("result %+v", res)
	}
}
