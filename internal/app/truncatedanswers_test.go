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

// completeBody is the body of every answer of TestServerDiesAtEachByte.
const completeBody = "whole answer"

// A server closes its connection after each possible number of bytes of its answer. An answer that is complete for the
// client must be the server's complete answer. A request of an unsafe class must be executed at most once, and one of a
// safe class at most as often as its attempts allow.
func TestServerDiesAtEachByte(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer string
		http2  bool
	}{
		{
			name:   "length",
			answer: "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\nwhole answer",
		},
		{
			name: "chunks",
			answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"6\r\nwhole \r\n6\r\nanswer\r\n0\r\nX-Sum: 42\r\n\r\n",
		},
		{
			name: "interim",
			answer: "HTTP/1.1 103 Early Hints\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer",
		},
		{name: "http2", answer: answerFrames(), http2: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const lanes = 8 // number of concurrent clients, each with servers of its own
			var run sync.WaitGroup
			for lane := range lanes {
				s := startRawServer(t, tc.answer, tc.http2, 4, nil)
				upstream := webpeer.Protocol{HTTP2: tc.http2}
				c := newCellWithServers(t, webpeer.Protocol{}, upstream, nil, nil, config.Listener{}, s.Addrs...)
				run.Go(func() {
					for cut := lane; cut <= len(tc.answer); cut += lanes {
						for _, path := range []string{"/x", "/pay/x"} {
							checkTruncatedAnswer(t, c, s, path, cut, cut == len(tc.answer))
						}
					}
				})
			}
			run.Wait()
		})
	}
}

// answerFrames returns the frames of an HTTP/2 answer with trailers.
func answerFrames() string {
	var frames bytes.Buffer
	f := http2.NewFramer(&frames, nil)
	f.WriteHeaders(http2.HeadersFrameParam{
		StreamID: 1, BlockFragment: rawpeer.Fields(":status", "200", "x-a", "b"), EndHeaders: true,
	})
	f.WriteData(1, false, []byte("whole "))
	f.WriteData(1, false, []byte("answer"))
	f.WriteHeaders(http2.HeadersFrameParam{
		StreamID: 1, BlockFragment: rawpeer.Fields("x-sum", "42"), EndHeaders: true, EndStream: true,
	})
	return frames.String()
}

// checkTruncatedAnswer sends a request to a server that closes the connection after cut bytes of its answer. uncut says
// that these are all bytes of the answer.
func checkTruncatedAnswer(t *testing.T, c *cell, s *rawpeer.Server, path string, cut int, uncut bool) {
	t.Helper()
	s.AnswerBytes.Store(int64(cut))
	before := s.Executed.Load()
	resp, text, err := c.exchange("POST", path, "", bytes.NewReader([]byte("body")), 4)
	executed := s.Executed.Load() - before
	complete := err == nil && resp.StatusCode == 200
	switch {
	case complete && string(text) != completeBody:
		t.Errorf("cut at %d: the client takes %q for the complete answer", cut, text)
	case !complete && uncut:
		t.Errorf("the complete answer was not forwarded: answer %v, error %v", resp, err)
	case !complete && err == nil && resp.StatusCode != 502 && resp.StatusCode != 503:
		t.Errorf("cut at %d: status %d, want 502 or 503", cut, resp.StatusCode)
	case path == "/pay/x" && executed > 1, executed > 3:
		t.Errorf("cut at %d: %s was executed %d times, want at most 1 for /pay/x and at most 3 for others", cut, path, executed)
	}
}

// startRawServer starts a server at a number of addresses, which answers each request with the bytes of answer until the
// end of the test. tap records what the server receives; it may be nil.
func startRawServer(
	t testing.TB, answer string, overHTTP2 bool, addresses int, tap *rawpeer.Tap,
) *rawpeer.Server {
	s, err := rawpeer.Start([]byte(answer), overHTTP2, addresses, tap)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Down)
	return s
}
