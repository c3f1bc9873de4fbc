package app

import (
	"bytes"
	"sync"
	"testing"

	"golang.org/x/net/http2"

	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
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
				s := startRawServer(t, tc.answer, tc.http2, 4, nil)
				c := newCellTo(t, webpeer.Wire{}, webpeer.Wire{HTTP2: tc.http2}, nil, nil, config.Listener{}, s.Addrs...)
				run.Go(func() {
					for cut := lane; cut <= len(tc.answer); cut += lanes {
						for _, path := range []string{"/x", "/pay/x"} {
							s.Cut.Store(int64(cut))
							before := s.Executed.Load()
							resp, text, err := c.exchange("POST", path, "", bytes.NewReader([]byte("body")), 4)
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

func startRawServer(t testing.TB, answer string, overHTTP2 bool, places int, tap *rawpeer.Tap) *rawpeer.Server {
	s, err := rawpeer.Start([]byte(answer), overHTTP2, places, tap)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Down)
	return s
}
