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

// serveBackend serves with one server, which has a handler.
func serveBackend(t testing.TB, handle http.HandlerFunc) *serving {
	t.Helper()
	b := testutil.NewBackend(t, handle)
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

// Where no attempt is left the client gets the last answer of a server, whatever the class.
func TestLastAnswerIsForwarded(t *testing.T) {
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
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
	s := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
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

// Answers of any size are forwarded unchanged, in both framings, over connections that are reused; small ones right
// after large ones too.
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
			requests++
			resp, body := s.do("GET", fmt.Sprintf("%s?n=%d", path, n), "")
			if resp.StatusCode != 200 || body != string(bytes[:n]) {
				t.Errorf("%s of %d bytes: status %d, %d bytes", path, n, resp.StatusCode, len(body))
			}
		}
	}
	used := 0
	conns.Range(func(any, any) bool { used++; return true })
	if used > requests/2 {
		t.Errorf("%d connections for %d requests", used, requests)
	}
}

// A stream that breaks is broken for the client too, wherever it breaks and however it is
// framed; it never ends as if it were complete. There is no retry.
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
				continue // not even the head came through whole: it is broken all right
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil || len(text) > n || requests.Load() != before+1 {
				t.Errorf("%s broken after %d: %d bytes, %v, %d requests", path, n, len(text), err, requests.Load()-before)
			}
		}
	}
}

// Events are forwarded as they are sent, and a client that disconnects ends the stream at its server. A request beside
// the stream is served.
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
			t.Fatalf("%q, %v", line, err)
		}
		lines.ReadString('\n')
	}
	if resp, _ := s.do("GET", "/x", ""); resp.StatusCode != 200 {
		t.Errorf("beside a stream: status %d", resp.StatusCode)
	}
	resp.Body.Close()
	testutil.Wait(t, left, "the stream to end at its server")
}

// A client that reads nothing stops its server: what is buffered between them is bounded.
func TestBackPressure(t *testing.T) {
	var written atomic.Int64
	over := make(chan struct{})
	s := serveBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(over)
		part := make([]byte, 64<<10)
		for range 1 << 14 { // 1 GB
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
	testutil.Until(t, "the server to be stopped", func() bool {
		now := written.Load()
		still := now == last
		last = now
		time.Sleep(50 * time.Millisecond)
		return still
	})
	if last > 64<<20 { // socket buffers on loopback, of four sockets
		t.Errorf("%d bytes on their way to a client that takes none", last)
	}
	resp.Body.Close()
	testutil.Wait(t, over, "the stream to end at its server")
}
