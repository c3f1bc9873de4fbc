package app

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"yokestall/internal/cluster"
	"yokestall/internal/httpup"
	"yokestall/internal/testkit"
)

func behind(t testing.TB, handle http.HandlerFunc) *serving {
	t.Helper()
	b := testkit.NewBackend(t, handle)
	e := cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1}
	return serve(t, snapshot(parse(t, program), rooms(e)))
}

// do makes a request and reads its answer.
func (s *serving) do(method, path, body string) (*http.Response, string) {
	s.t.Helper()
	r, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp, string(text)
}

// Where no attempt is left the client sees what a server said last, whatever the class.
func TestLastWordOfAServer(t *testing.T) {
	s := behind(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Cause", "disk")
		w.WriteHeader(507)
		io.WriteString(w, "no room on "+r.URL.Path)
	})
	for _, c := range []struct{ method, path string }{{"GET", "/x"}, {"POST", "/pay/x"}} {
		resp, body := s.do(c.method, c.path, "")
		if resp.StatusCode != 507 || resp.Header.Get("X-Cause") != "disk" || body != "no room on "+c.path {
			t.Errorf("%s: status %d, %v, %q", c.path, resp.StatusCode, resp.Header, body)
		}
	}
}

// HEAD is carried (RFC 9110, 9.3.2): the answer's head with the length that GET would have.
func TestHead(t *testing.T) {
	s := behind(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "3000000")
		}
		w.Header().Set("X-Method", r.Method)
	})
	for path, length := range map[string]int64{"/length": 3000000, "/none": -1} {
		for range 3 { // the connection is of use afterwards
			resp, body := s.do(http.MethodHead, path, "")
			if resp.StatusCode != 200 || resp.ContentLength != length || resp.Header.Get("X-Method") != "HEAD" || body != "" {
				t.Errorf("%s: status %d, length %d, %v, %q", path, resp.StatusCode, resp.ContentLength, resp.Header, body)
			}
		}
	}
}

// An answer that is too large to be carried is told of as that, and is not booked as its
// server's failure: the breaker of a healthy server stays closed.
func TestLargeAnswers(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		s := behind(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/large" {
				return
			}
			if framing == "length" {
				w.Header().Set("Content-Length", fmt.Sprint(httpup.MaxBody+1))
			}
			io.WriteString(w, strings.Repeat("x", httpup.MaxBody+1))
		})
		for range 30 {
			if resp, body := s.do("GET", "/large", ""); resp.StatusCode != 502 || !strings.Contains(body, "larger than 65536 bytes") {
				t.Fatalf("%s: status %d, %q", framing, resp.StatusCode, body)
			}
		}
		if resp, _ := s.do("GET", "/small", ""); resp.StatusCode != 200 {
			t.Errorf("%s: status %d from a healthy server", framing, resp.StatusCode)
		}
	}
}
