package app

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// A server that dies at each byte of its answer, for each class: what the client takes for
// whole is whole, an unsafe request is executed once, a safe one within its attempts.
func TestServerDiesAtEachByte(t *testing.T) {
	var frames bytes.Buffer
	f := http2.NewFramer(&frames, nil)
	f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: rawpeer.Fields(":status", "200", "x-a", "b"), EndHeaders: true})
	f.WriteData(1, false, []byte("whole "))
	f.WriteData(1, false, []byte("answer"))
	f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: rawpeer.Fields("x-sum", "42"), EndHeaders: true, EndStream: true})
	for _, tc := range []struct {
		name   string
		answer string
		http2  bool
		whole  int // bytes from which the body is all there; its framing says so
	}{
		{"length", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\nwhole answer", false, 0},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\nX-Sum: 42\r\n\r\n", false, 0},
		{"interim", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer", false, 0},
		{"http2", frames.String(), true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const lanes = 8 // each with servers of its own
			var run sync.WaitGroup
			for lane := range lanes {
				s := rawServer(t, tc.answer, tc.http2, 4, nil)
				c := newCellTo(t, webpeer.Protocol{}, webpeer.Protocol{HTTP2: tc.http2}, nil, nil, config.Listener{}, s.Addrs...)
				run.Go(func() {
					for cut := lane; cut <= len(tc.answer); cut += lanes {
						for _, path := range []string{"/x", "/pay/x"} {
							s.AnswerBytes.Store(int64(cut))
							before := s.Executed.Load()
							resp, text, err := c.ask("POST", path, "", bytes.NewReader([]byte("body")), 4)
							ran := s.Executed.Load() - before
							whole := err == nil && resp.StatusCode == 200
							switch {
							case whole && string(text) != "whole answer":
								t.Errorf("cut at %d: %q passes for the whole", cut, text)
							case !whole && cut == len(tc.answer):
								t.Errorf("the whole answer is not passed on: %v %v", resp, err)
							case !whole && err == nil && resp.StatusCode != 502 && resp.StatusCode != 503:
								t.Errorf("cut at %d: status %d", cut, resp.StatusCode)
							case path == "/pay/x" && ran > 1, ran > 3:
								t.Errorf("cut at %d: %s executed %d times", cut, path, ran)
							}
						}
					}
				})
			}
			run.Wait()
		})
	}
}

// Messages whose ends, names or targets two readers could see differently (RFC 9112, 11.2).
// Each ends in a request for /hidden that only a server that is led astray would see.
var smuggled = []string{
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 60\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4, 60\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0x4\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length : 40\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\n Content-Length: 40\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n1\r\nA\r\nX\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbodyGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: a b\r\n\r\n",
	"GET /x HTTP/1.1\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: a\r\nX: y\rGET /hidden HTTP/1.1\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: a\r\nX: y\x00\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: a\r\nX\xff: y\r\n\r\n",
	"GET /x HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
	"GET /x HTTP/9.9\r\nHost: a\r\n\r\n",
	"GET /x  HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /x y HTTP/1.1\r\nHost: a\r\n\r\n",
	"G\x00T /x HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET x HTTP/1.1\r\nHost: a\r\n\r\n",
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

// tapped is a server whose bytes a test sees.
func tapped(t testing.TB) (addr string, tap *rawpeer.Tap) {
	tap = &rawpeer.Tap{}
	return rawServer(t, okAnswer, false, 1, tap).Addrs[0], tap
}

func rawServer(t testing.TB, answer string, overHTTP2 bool, places int, tap *rawpeer.Tap) *rawpeer.Server {
	s, err := rawpeer.Start([]byte(answer), overHTTP2, places, tap)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Down)
	return s
}

// Nothing that is hidden in a message reaches a server, over either version; and what is
// passed on has one length alone.
func TestSmuggling(t *testing.T) {
	addr, tap := tapped(t)
	c := newCellTo(t, webpeer.Protocol{}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: 10}, addr)
	for _, text := range smuggled {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		io.WriteString(nc, text)
		nc.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(nc)
		nc.Close()
		seen := tap.Drain()
		if strings.Contains(seen, "hidden") && !strings.Contains(seen, "Content-Length: ") {
			t.Errorf("%q reached the server as %q", text, seen)
		}
		if status := string(answer[:min(12, len(answer))]); !strings.HasPrefix(status, "HTTP/1.1 4") && !strings.HasPrefix(status, "HTTP/1.1 5") && seen != "" {
			if n := strings.Count(seen, "HTTP/1.1\r\n"); n > 1 || strings.Contains(strings.ToLower(seen), "transfer-encoding") && strings.Contains(seen, "Content-Length") {
				t.Errorf("%q reached the server as %q", text, seen)
			}
		}
	}
	good := []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/x"}
	for _, tc := range []struct {
		name string
		list []string
		body string
	}{
		{"a line's end in a value", append(good[:8:8], "x", "y\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1"), ""},
		{"a line's end in a name", append(good[:8:8], "x: y\r\nz", "v"), ""},
		{"a colon in a name", append(good[:8:8], "x:y", "v"), ""},
		{"a capital in a name", append(good[:8:8], "X-Y", "v"), ""},
		{"a coding", append(good[:8:8], "transfer-encoding", "chunked"), "0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n"},
		{"connection", append(good[:8:8], "connection", "x-forwarded-for"), ""},
		{"a length that is too short", append(good[:8:8], "content-length", "2"), "GET /hidden HTTP/1.1\r\n\r\n"},
		{"a length that is too long", append(good[:8:8], "content-length", "200"), "GET /hidden HTTP/1.1\r\n\r\n"},
		{"two lengths", append(good[:8:8], "content-length", "2", "content-length", "24"), "GET /hidden HTTP/1.1\r\n\r\n"},
		{"a path with a line's end", []string{":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x HTTP/1.1\r\n\r\nGET /hidden"}, ""},
		{"a method with a space", []string{":method", "GET /hidden HTTP/1.1\r\n", ":scheme", "http", ":authority", "a", ":path", "/x"}, ""},
		{"an authority with a line's end", []string{":method", "GET", ":scheme", "http", ":authority", "a\r\nx: y", ":path", "/x"}, ""},
		{"two paths", append(good[:8:8], ":path", "/hidden"), ""},
		{"a pseudo-field behind others", append([]string{"x", "y"}, good...), ""},
		{"an unknown pseudo-field", append(good[:8:8], ":hidden", "1"), ""},
		{"a host beside the authority", append(good[:8:8], "host", "hidden"), ""},
		{"no path", good[:6], ""},
	} {
		nc, f, err := rawpeer.OpenHTTP2(c.addr)
		if err != nil {
			t.Fatal(err)
		}
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: rawpeer.Fields(tc.list...), EndHeaders: true, EndStream: tc.body == ""})
		if tc.body != "" {
			f.WriteData(1, true, []byte(tc.body))
		}
		status := ""
		for status == "" {
			frame, err := f.ReadFrame()
			switch frame := frame.(type) {
			case *http2.RSTStreamFrame, *http2.GoAwayFrame:
				status = "reset"
			case *http2.HeadersFrame:
				list, _ := hpack.NewDecoder(4096, nil).DecodeFull(frame.HeaderBlockFragment())
				status = list[0].Value
			}
			if err != nil {
				status = "closed"
			}
		}
		nc.Close()
		seen := tap.Drain()
		dropped := tc.name == "a host beside the authority" // what goes on has the authority alone
		if status == "200" && !dropped || strings.Contains(seen, "/hidden HTTP") || strings.Contains(seen, "Host: hidden") {
			t.Errorf("%s: status %s, the server saw %q", tc.name, status, seen)
		}
	}
}

// The listener's end with streams open on one HTTP/2 connection: each gets its whole answer,
// the client is told to move, and nothing is refused that had been taken.
func TestDrainWithStreams(t *testing.T) {
	const streams = 1000
	hold := make(chan struct{})
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-hold
		}
		w.Write(webpeer.Pattern(3000))
	})
	c := newCellTo(t, webpeer.Protocol{HTTP2: true}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: streams}, b.Addr())
	if _, _, err := c.ask("GET", "/x", "", nil, 0); err != nil { // opens the connection
		t.Fatal(err)
	}
	testutil.Wait(t, b.Requests, "the first")
	var run sync.WaitGroup
	var whole atomic.Int64
	for range streams {
		run.Go(func() {
			resp, text, err := c.ask("POST", "/x", "", nil, 0)
			if err == nil && resp.StatusCode == 200 && bytes.Equal(text, webpeer.Pattern(3000)) {
				whole.Add(1)
			} else if err == nil && resp.StatusCode != 503 { // the module may refuse what it can't place
				t.Errorf("%v", resp)
			}
		})
	}
	testutil.Wait(t, b.Requests, "the first to be out")
	ended := make(chan struct{})
	go func() { defer close(ended); c.listeners.Close() }()
	testutil.Until(t, "the listener to be gone", func() bool {
		nc, err := net.Dial("tcp", c.addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	close(hold)
	run.Wait()
	testutil.Wait(t, ended, "the end")
	// Some came too late, behind the GOAWAY: they were not taken. What was taken is answered.
	if n := int64(len(b.Requests)) + 1; whole.Load() < n {
		t.Errorf("%d reached the server, %d whole answers came back", n, whole.Load())
	}
	if _, _, err := c.ask("GET", "/x", "", nil, 0); err == nil {
		t.Error("the listener still serves")
	}
}

// FuzzClient: whatever bytes a client sends, the listener lives, and a server sees whole
// requests with one length alone.
func FuzzClient(f *testing.F) {
	for _, text := range smuggled {
		f.Add([]byte(text))
	}
	f.Add([]byte(http2.ClientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	addr, tap := tapped(f)
	c := newCellTo(f, webpeer.Protocol{}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: 10}, addr)
	f.Fuzz(func(t *testing.T, text []byte) {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		nc.Write(text)
		nc.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, nc)
		nc.Close()
		for _, head := range bytes.SplitAfter([]byte(tap.Drain()), []byte("\r\n\r\n")) {
			if bytes.Contains(head, []byte("Transfer-Encoding")) && bytes.Contains(head, []byte("Content-Length")) {
				t.Errorf("two lengths: %q", head)
			}
		}
	})
}
