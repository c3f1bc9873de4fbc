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

// validAnswer is a complete answer with the body "hi".
const validAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// answerCase is an endpoint's answer with the expected results of two attempts that get it.
type answerCase struct {
	name       string
	answer     string
	closes     bool // the endpoint closes the connection after the answer
	wantStatus policy.Status
	wantConns  int // number of connections that two attempts open
}

// answerCases returns all cases of TestOutcomes.
func answerCases() []answerCase {
	return slices.Concat(
		servedAnswers(), errorAnswers(), truncatedAnswers(), stalledAnswers(), invalidAnswers(), excessiveAnswers())
}

// servedAnswers returns the cases with complete answers that serve the request.
func servedAnswers() []answerCase {
	return []answerCase{
		{name: "served", answer: validAnswer, wantStatus: policy.OK, wantConns: 1},
		{
			name:       "served, chunked",
			answer:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			wantStatus: policy.OK,
			wantConns:  1,
		},
		{
			name:       "served, then closed",
			answer:     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
			closes:     true,
			wantStatus: policy.OK,
			wantConns:  2,
		},
		{
			name:       "early hints",
			answer:     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + validAnswer,
			wantStatus: policy.OK,
			wantConns:  1,
		},
		{name: "more than the answer", answer: validAnswer + "rest", wantStatus: policy.OK, wantConns: 2},
	}
}

// errorAnswers returns the cases with complete answers that are failures.
func errorAnswers() []answerCase {
	return []answerCase{
		{
			name:       "error",
			answer:     "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
			wantStatus: policy.ErrorResponse,
			wantConns:  1,
		},
		{
			name:       "another status",
			answer:     "HTTP/1.1 404 Where\r\nContent-Length: 0\r\n\r\n",
			wantStatus: policy.ErrorResponse,
			wantConns:  1,
		},
		{
			name:       "rejected, 503",
			answer:     "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			wantStatus: policy.Rejected,
			wantConns:  1,
		},
		{
			name:       "rejected, 504",
			answer:     "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			wantStatus: policy.Rejected,
			wantConns:  1,
		},
		{
			name:       "503 that promises not",
			answer:     "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
			wantStatus: policy.ErrorResponse,
			wantConns:  1,
		},
	}
}

// truncatedAnswers returns the cases in which the connection ends before the answer is complete.
func truncatedAnswers() []answerCase {
	return []answerCase{
		{
			name:       "reset",
			answer:     "",
			closes:     true,
			wantStatus: policy.Reset,
			wantConns:  2,
		},
		{
			name:       "half a head",
			answer:     "HTTP/1.1 200 OK\r\nContent-Le",
			closes:     true,
			wantStatus: policy.Reset,
			wantConns:  2,
		},
		{
			name:       "half a body",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi",
			closes:     true,
			wantStatus: policy.Reset,
			wantConns:  2,
		},
		{
			name:       "body with no length",
			answer:     "HTTP/1.1 200 OK\r\n\r\nhi",
			closes:     true,
			wantStatus: policy.Reset,
			wantConns:  2,
		},
	}
}

// stalledAnswers returns the cases in which the endpoint stops sending but leaves the connection open.
func stalledAnswers() []answerCase {
	return []answerCase{
		{name: "noise with no line", answer: "\x00\x01\x02", wantStatus: policy.ErrorResponse, wantConns: 2},
		{
			name:       "head without end",
			answer:     "HTTP/1.1 200 OK\r\nX-Filler: 1\r\n",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "body that stops",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "chunks that stop",
			answer:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "1xx, then nothing",
			answer:     "HTTP/1.1 103 Early Hints\r\n\r\nHT",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
	}
}

// invalidAnswers returns the cases with malformed answers.
func invalidAnswers() []answerCase {
	return []answerCase{
		{name: "noise", answer: "\x00\x01\x02 what\r\n\r\n", wantStatus: policy.ErrorResponse, wantConns: 2},
		{
			name:       "chunk too large",
			answer:     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\nhi",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "two lengths",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "negative length",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "length no number",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhi",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
	}
}

// excessiveAnswers returns the cases with answers that exceed a limit on their size.
func excessiveAnswers() []answerCase {
	return []answerCase{
		{
			name: "large body",
			answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxBody+1) +
				strings.Repeat("x", MaxBody+1),
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "announced 3 GB",
			answer:     "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi",
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "1xx for ever",
			answer:     strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20),
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
		{
			name:       "large head",
			answer:     "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxAnswerBytes+1),
			wantStatus: policy.ErrorResponse,
			wantConns:  2,
		},
	}
}

// An attempt's status follows from the endpoint's answer, and a connection is reused only after a complete answer with no
// further bytes. Otherwise an incomplete answer could be taken for a complete one, or the rest of an answer for the answer
// to the next request.
func TestOutcomes(t *testing.T) {
	for _, c := range answerCases() {
		t.Run(c.name, func(t *testing.T) {
			addr, conns := testutil.Script(t, c.answer, c.closes)
			p, id := poolTo(addr)
			for range 2 {
				checkAttempt(t, p, id, c)
			}
			if len(conns) != c.wantConns {
				t.Errorf("two attempts: got %d connections, want %d", len(conns), c.wantConns)
			}
		})
	}
}

// checkAttempt makes one attempt and checks its status and body. The pool must detect a broken answer by itself, long before
// the deadline.
func checkAttempt(t *testing.T, p *Pool, id policy.EndpointID, c answerCase) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.WaitTimeout)
	defer cancel()
	status, body := send(ctx, p, id)
	if ctx.Err() != nil {
		t.Error("attempt: got no result before the deadline, want one long before it")
	}
	if status != c.wantStatus {
		t.Errorf("attempt: got status %d, want %d", status, c.wantStatus)
	}
	if c.wantStatus == policy.OK && body != "hi" {
		t.Errorf("attempt: got body %q, want \"hi\"", body)
	}
}

// The end of the connection completes a body without a length only if the head announces the close, or if the answer is
// HTTP/1.0. Otherwise the answer may have lost its length, and a truncated body must not be taken for a complete one, also
// if it is returned as a stream.
func TestAnswersWithNoLength(t *testing.T) {
	for head, complete := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\n\r\n":                      true,
	} {
		for _, length := range []int{2, MaxBody + 1, 4 * MaxBody} {
			t.Run(fmt.Sprintf("%.28q of %d", head, length), func(t *testing.T) {
				addr, _ := testutil.Script(t, head+strings.Repeat("x", length), true)
				p, id := poolTo(addr)
				p.streamLargeBodies = true
				r := &Request{Method: "POST", Target: "/pay", Host: "x", Header: http.Header{}, Body: []byte("b")}
				res := p.Exchange(engine.NewCall(t.Context()), id, r, time.Minute)
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
					t.Errorf("body taken for complete: got %v (status %d, error %v) after %d of %d bytes", served, res.Status, err, got, length)
				}
			})
		}
	}
}

// With Options.AnyStatus, an answer with a status below 500 is a success and keeps its status.
func TestAnyAnswer(t *testing.T) {
	addr, _ := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such room", 404) })
	p := New(Options{
		EndpointIdleTimeout: 15 * time.Second, ConnectTimeout: 5 * time.Second, MaxConnections: 10, AnyStatus: true,
	})
	p.UpdateEndpoints(true, []Endpoint{{ID: 1, Address: addr}})
	r := &Request{Method: "GET", Target: "/", Host: "x", Header: http.Header{}}
	res := p.Exchange(engine.NewCall(t.Context()), 1, r, time.Minute)
	if a, ok := res.Answer.(*Answer); !ok || res.Status != policy.OK || a.Status != 404 {
		t.Errorf("result: got %+v, want status OK with an answer of status 404", res)
	}
}

// An answer refuses a request exactly if its receiver may take the request for one that was not run.
func TestRefuses(t *testing.T) {
	for _, tc := range []struct {
		status       int
		notProcessed string
		want         bool
	}{
		{429, "", true}, {503, "", true}, {503, "1", true}, {504, "1", true},
		{504, "", false}, {504, "0", false}, {200, "1", false}, {500, "1", false}, {502, "", false},
	} {
		a := &Answer{Status: tc.status, Header: http.Header{}}
		if tc.notProcessed != "" {
			a.Header.Set("X-Not-Processed", tc.notProcessed)
		}
		if got := a.Refuses(); got != tc.want {
			t.Errorf("status %d with X-Not-Processed %q: got %v, want %v", tc.status, tc.notProcessed, got, tc.want)
		}
	}
}
