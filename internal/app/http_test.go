package app

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/testutil"
	"yokestall/internal/upstream/h1client"
)

// serveBackend starts a testApp whose cluster has one server with this handler.
func serveBackend(t testing.TB, handle http.HandlerFunc) *testApp {
	t.Helper()
	b := testutil.NewBackend(t, handle)
	e := cluster.Endpoint{ID: "b", Address: b.Addr(), Weight: 1}
	return serve(t, newConfiguration(parse(t, program), roomsCluster(e)))
}

// do sends a request and returns the complete answer. It fails the test if there is none.
func (s *testApp) do(method, path, body string) (*http.Response, string) {
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

// If no attempt is left, the client gets the answer of the last attempt, whatever the class of the request.
func TestLastAnswerIsForwarded(t *testing.T) {
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Cause", "disk")
		w.WriteHeader(507)
		io.WriteString(w, "no room on "+r.URL.Path)
	})
	for _, c := range []struct{ method, path string }{{"GET", "/x"}, {"POST", "/pay/x"}} {
		resp, body := s.do(c.method, c.path, "")
		if resp.StatusCode != 507 || resp.Header.Get("X-Cause") != "disk" || body != "no room on "+c.path {
			t.Errorf("%s: status %d, header %v, body %q; want the server's answer with status 507",
				c.path, resp.StatusCode, resp.Header, body)
		}
	}
}

// The answer to HEAD (RFC 9110, section 9.3.2) is forwarded without a body and with the Content-Length that the server
// gave. The upstream connection can be reused afterwards.
func TestHead(t *testing.T) {
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "3000000")
		}
		w.Header().Set("X-Method", r.Method)
	})
	for path, length := range map[string]int64{"/length": 3000000, "/none": -1} {
		for range 3 { // repeated, so that the connection is reused
			resp, body := s.do(http.MethodHead, path, "")
			if resp.StatusCode != 200 || resp.ContentLength != length || resp.Header.Get("X-Method") != "HEAD" || body != "" {
				t.Errorf("%s: status %d, length %d, header %v, body %q; want 200, length %d, no body",
					path, resp.StatusCode, resp.ContentLength, resp.Header, body, length)
			}
		}
	}
}

// Answers of several sizes, with Content-Length and in chunks, are forwarded unchanged over connections that are reused,
// also a small answer directly after a large one.
func TestAnswersOfAnySize(t *testing.T) {
	bytes := make([]byte, 3<<20)
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range bytes {
		bytes[i] = byte(rnd.Uint32())
	}
	var conns sync.Map
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		conns.Store(r.RemoteAddr, nil)
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		for from := 0; from < n; from += 50000 {
			w.Write(bytes[from:min(n, from+50000)])
			if r.URL.Path == "/pauses" {
				w.(http.Flusher).Flush()
			}
		}
	})
	sizes := []int{
		0, 1, 4096, h1client.MaxBody - 1, h1client.MaxBody, h1client.MaxBody + 1, 200000, len(bytes), 17,
	}
	requests := 0
	for _, path := range []string{"/length", "/chunks", "/pauses"} {
		for _, n := range sizes {
			time.Sleep(2 * h1client.ReuseDelay) // after it, the connection of the previous answer may be used again
			requests++
			resp, body := s.do("GET", fmt.Sprintf("%s?n=%d", path, n), "")
			if resp.StatusCode != 200 || body != string(bytes[:n]) {
				t.Errorf("%s of %d bytes: status %d, %d bytes; want 200 and the same bytes", path, n, resp.StatusCode, len(body))
			}
		}
	}
	used := 0
	conns.Range(func(any, any) bool { used++; return true })
	if used > requests/2 {
		t.Errorf("%d connections for %d requests, want at most half as many", used, requests)
	}
}

// If a server breaks off its response stream, at any place and with either framing, the client must see an incomplete
// response, and the request is not retried.
func TestBrokenStreams(t *testing.T) {
	var requests atomic.Int64
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "1000000")
		}
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		io.WriteString(w, strings.Repeat("x", n))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/length", "/chunks"} {
		for _, n := range []int{h1client.MaxBody + 1, 300000, 999999} {
			before := requests.Load()
			resp, err := s.client.Get(fmt.Sprintf("%s%s?n=%d", s.url, path, n))
			if err != nil {
				continue // the client did not get a complete head, so the response is incomplete
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil || len(text) > n || requests.Load() != before+1 {
				t.Errorf("%s broken off after %d bytes: client got %d bytes, error %v, %d requests; want an error and 1 request",
					path, n, len(text), err, requests.Load()-before)
			}
		}
	}
}

// Events of a stream are forwarded when they are sent, another request is served while the stream is open, and the stream
// ends at its server when the client disconnects.
func TestEventStream(t *testing.T) {
	events, left := make(chan string), make(chan struct{})
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/events" {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			select {
			case e := <-events:
				fmt.Fprintf(w, "data: %s\n\n", e)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				close(left)
				return
			}
		}
	})
	go func() { events <- "first" }()
	resp, err := s.client.Get(s.url + "/events")
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(resp.Body)
	for _, want := range []string{"first", "second", "third"} {
		if want != "first" {
			events <- want
		}
		if line, err := lines.ReadString('\n'); line != "data: "+want+"\n" || err != nil {
			t.Fatalf("line %q, error %v; want the event %q", line, err, want)
		}
		lines.ReadString('\n')
	}
	if resp, _ := s.do("GET", "/x", ""); resp.StatusCode != 200 {
		t.Errorf("request while a stream is open: status %d, want 200", resp.StatusCode)
	}
	resp.Body.Close()
	testutil.Wait(t, left, "the stream to end at its server")
}

// If a client reads nothing, its server must be blocked from writing: the number of bytes buffered between them is bounded.
func TestBackPressure(t *testing.T) {
	var written atomic.Int64
	over := make(chan struct{})
	s := serveBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(over)
		part := make([]byte, 64<<10)
		for range 1 << 14 { // 1 GiB in total
			n, err := w.Write(part)
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	})
	resp, err := s.client.Get(s.url + "/x")
	if err != nil {
		t.Fatal(err)
	}
	last := int64(-1)
	testutil.Until(t, "the server to be blocked", func() bool {
		now := written.Load()
		still := now == last
		last = now
		time.Sleep(50 * time.Millisecond)
		return still
	})
	if last > 64<<20 { // leaves room for the loopback socket buffers of four sockets
		t.Errorf("%d bytes are buffered for a client that reads nothing, want at most %d", last, 64<<20)
	}
	resp.Body.Close()
	testutil.Wait(t, over, "the stream to end at its server")
}
