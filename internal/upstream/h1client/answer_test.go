package h1client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"yokestall/internal/engine"
	"yokestall/internal/testutil"
	"yokestall/policy"
)

// goodAnswer is a complete answer.
const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// outcome is an answer of an endpoint and what becomes of two attempts that get it.
type outcome struct {
	name   string
	answer string
	closes bool // whether the endpoint closes the connection after it
	status policy.Status
	conns  int // that two attempts take
}

// outcomes returns the cases of TestOutcomes.
func outcomes() []outcome {
	return slices.Concat(
		servedAnswers(), errorAnswers(), truncatedAnswers(), stalledAnswers(), invalidAnswers(), excessiveAnswers())
}

// servedAnswers returns answers that are complete.
func servedAnswers() []outcome {
	return []outcome{
		{name: "served", answer: goodAnswer, status: policy.OK, conns: 1},
		{
			name:   "served, chunked",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			status: policy.OK,
			conns:  1,
		},
		{
			name:   "served, then closed",
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
			closes: true,
			status: policy.OK,
			conns:  2,
		},
		{
			name:   "early hints",
			answer: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + goodAnswer,
			status: policy.OK,
			conns:  1,
		},
		{name: "more than the answer", answer: goodAnswer + "rest", status: policy.OK, conns: 2},
	}
}

// errorAnswers returns complete answers that are not served.
func errorAnswers() []outcome {
	return []outcome{
		{
			name:   "error",
			answer: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
			status: policy.ErrorResponse,
			conns:  1,
		},
		{
			name:   "another status",
			answer: "HTTP/1.1 404 Where\r\nContent-Length: 0\r\n\r\n",
			status: policy.ErrorResponse,
			conns:  1,
		},
		{
			name:   "rejected, 503",
			answer: "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			status: policy.Rejected,
			conns:  1,
		},
		{
			name:   "rejected, 504",
			answer: "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			status: policy.Rejected,
			conns:  1,
		},
		{
			name:   "503 that promises not",
			answer: "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
			status: policy.ErrorResponse,
			conns:  1,
		},
	}
}

// truncatedAnswers returns answers that end with their connection before they are complete.
func truncatedAnswers() []outcome {
	return []outcome{
		{
			name:   "reset",
			answer: "",
			closes: true,
			status: policy.Reset,
			conns:  2,
		},
		{
			name:   "half a head",
			answer: "HTTP/1.1 200 OK\r\nContent-Le",
			closes: true,
			status: policy.Reset,
			conns:  2,
		},
		{
			name:   "half a body",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi",
			closes: true,
			status: policy.Reset,
			conns:  2,
		},
		{
			name:   "body with no length",
			answer: "HTTP/1.1 200 OK\r\n\r\nhi",
			closes: true,
			status: policy.Reset,
			conns:  2,
		},
	}
}

// stalledAnswers returns answers that stop while their connection stays open.
func stalledAnswers() []outcome {
	return []outcome{
		{name: "noise with no line", answer: "\x00\x01\x02", status: policy.ErrorResponse, conns: 2},
		{
			name:   "head without end",
			answer: "HTTP/1.1 200 OK\r\nX-Filler: 1\r\n",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "body that stops",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "chunks that stop",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "1xx, then nothing",
			answer: "HTTP/1.1 103 Early Hints\r\n\r\nHT",
			status: policy.ErrorResponse,
			conns:  2,
		},
	}
}

// invalidAnswers returns answers that are malformed.
func invalidAnswers() []outcome {
	return []outcome{
		{name: "noise", answer: "\x00\x01\x02 what\r\n\r\n", status: policy.ErrorResponse, conns: 2},
		{
			name:   "chunk too large",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "two lengths",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "negative length",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "length no number",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi",
			status: policy.ErrorResponse,
			conns:  2,
		},
	}
}

// excessiveAnswers returns answers that exceed a limit.
func excessiveAnswers() []outcome {
	return []outcome{
		{
			name: "large body",
			answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxBody+1) +
				strings.Repeat("x", MaxBody+1),
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "announced 3 GB",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi",
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "1xx for ever",
			answer: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20),
			status: policy.ErrorResponse,
			conns:  2,
		},
		{
			name:   "large head",
			answer: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxAnswerBytes+1),
			status: policy.ErrorResponse,
			conns:  2,
		},
	}
}

// The status of an attempt by what its endpoint answers, and whether the connection is reused afterwards.
func TestOutcomes(t *testing.T) {
	for _, c := range outcomes() {
		t.Run(c.name, func(t *testing.T) {
			addr, conns := testutil.Script(t, c.answer, c.closes)
			u, id := poolTo(addr)
			for range 2 {
				checkOutcome(t, u, id, c)
			}
			if len(conns) != c.conns {
				t.Errorf("%d connections, want %d", len(conns), c.conns)
			}
		})
	}
}

// checkOutcome makes one attempt. The pool has to detect a fault by itself: the deadline is far away.
func checkOutcome(t *testing.T, u *Pool, id policy.EndpointID, c outcome) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
	defer cancel()
	status, body := send(ctx, u, id)
	if ctx.Err() != nil {
		t.Error("waited for to the end of the request's time")
	}
	if status != c.status {
		t.Errorf("status %d, want %d", status, c.status)
	}
	if c.status == policy.OK && body != "hi" {
		t.Errorf("body %q", body)
	}
}

// An answer without a length ends with its connection where it says so. Otherwise that may be the end of a part, also
// for a stream.
func TestAnswersWithNoLength(t *testing.T) {
	for head, complete := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\n\r\n":                      true,
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
				if served := res.Status == policy.OK && err == nil; served != complete || served && got != length {
					t.Errorf("taken for complete: %v (status %d, %v), %d bytes of %d", served, res.Status, err, got, length)
				}
			})
		}
	}
}

// With Options.AnyStatus an answer below 500 is served, with its status.
func TestAnyAnswer(t *testing.T) {
	addr, _ := backend(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such room", 404) })
	u := New(Options{
		EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10, AnyStatus: true,
	})
	u.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	r := &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}
	res := u.Exchange(engine.NewCall(t.Context()), 1, r, time.Minute)
	if a, ok := res.Answer.(*Answer); !ok || res.Status != policy.OK || a.Status != 404 {
		t.Errorf("result %+v", res)
	}
}
