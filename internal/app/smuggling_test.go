package app

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"yokestall/internal/config"
	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
	"yokestall/internal/testutil"
)

// Common parts of smuggledMessages.
const (
	postHead  = "POST /x HTTP/1.1\r\nHost: a\r\n"
	hiddenGet = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
)

// smuggledMessages are messages whose end, field names or target two recipients could interpret differently (request
// smuggling, RFC 9112, section 11.2). Many end with a request for /hidden, which a server only sees if its interpretation
// differs from the load balancer's.
var smuggledMessages = []string{
	postHead + "Content-Length: 5\r\nContent-Length: 60\r\n\r\n" + hiddenGet,
	postHead + "Content-Length: 4, 60\r\n\r\n" + hiddenGet,
	postHead + "Content-Length: +4\r\n\r\n" + hiddenGet,
	postHead + "Content-Length: 0x4\r\n\r\n" + hiddenGet,
	postHead + "Content-Length : 40\r\n\r\n" + hiddenGet,
	postHead + " Content-Length: 40\r\n\r\n" + hiddenGet,
	postHead + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n1\r\nA\r\nX\r\n",
	postHead + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hiddenGet,
	postHead + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + hiddenGet,
	postHead + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody" + hiddenGet,
	postHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n" + hiddenGet,
	postHead + "Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n" + hiddenGet,
	postHead + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n" + hiddenGet,
	postHead + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + hiddenGet,
	postHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n" + hiddenGet,
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

// okAnswer is the answer of the server of startTappedServer.
const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

// startTappedServer starts a server that answers with okAnswer. It returns the server's address and a tap that records
// the bytes that the server receives.
func startTappedServer(t testing.TB) (addr string, tap *rawpeer.Tap) {
	tap = &rawpeer.Tap{}
	return startRawServer(t, okAnswer, false, 1, tap).Addrs[0], tap
}

// A request that is hidden in a message over HTTP/1.1 or HTTP/2 must not reach a server as a request of its own, and a
// forwarded request must have either Content-Length or Transfer-Encoding, not both.
func TestSmuggling(t *testing.T) {
	addr, tap := startTappedServer(t)
	c := newCellWithServers(t, webpeer.Protocol{}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: 10}, addr)
	for _, text := range smuggledMessages {
		checkSmuggledMessage(t, c, tap, text)
	}
	for _, tc := range smuggledStreams() {
		checkSmuggledStream(t, c, tap, tc)
	}
}

// checkSmuggledMessage sends a message over HTTP/1.1 and checks the bytes that reach the server.
func checkSmuggledMessage(t *testing.T, c *cell, tap *rawpeer.Tap, text string) {
	t.Helper()
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
		t.Errorf("message %q reached the server as %q, with the hidden request outside a body", text, seen)
	}
	status := string(answer[:min(12, len(answer))])
	rejected := strings.HasPrefix(status, "HTTP/1.1 4") || strings.HasPrefix(status, "HTTP/1.1 5")
	if rejected || seen == "" {
		return
	}
	requests := strings.Count(seen, "HTTP/1.1\r\n")
	twoLengths := strings.Contains(strings.ToLower(seen), "transfer-encoding") && strings.Contains(seen, "Content-Length")
	if requests > 1 || twoLengths {
		t.Errorf("message %q reached the server as %q; want one request with one kind of length", text, seen)
	}
}

// smuggledStream is an HTTP/2 request that would be a different request, or several, if translated to HTTP/1.1 as it is.
type smuggledStream struct {
	name   string
	fields []string // alternating names and values
	body   string
	// forwarded says that the request may be forwarded without its smuggled part.
	forwarded bool
}

// smuggledStreams returns the requests of TestSmuggling over HTTP/2.
func smuggledStreams() []smuggledStream {
	post := []string{":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/x"}
	with := func(fields ...string) []string { return append(post[:len(post):len(post)], fields...) }
	get := func(method, authority, path string) []string {
		return []string{":method", method, ":scheme", "http", ":authority", authority, ":path", path}
	}
	const hidden = "GET /hidden HTTP/1.1\r\n\r\n"
	return []smuggledStream{
		{
			name:   "a line's end in a value",
			fields: with("x", "y\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1"),
		},
		{name: "a line's end in a name", fields: with("x: y\r\nz", "v")},
		{name: "a colon in a name", fields: with("x:y", "v")},
		{name: "a capital in a name", fields: with("X-Y", "v")},
		{name: "a coding", fields: with("transfer-encoding", "chunked"), body: "0\r\n\r\n" + hidden},
		{name: "connection", fields: with("connection", "x-forwarded-for")},
		{name: "a length that is too short", fields: with("content-length", "2"), body: hidden},
		{name: "a length that is too long", fields: with("content-length", "200"), body: hidden},
		{name: "two lengths", fields: with("content-length", "2", "content-length", "24"), body: hidden},
		{name: "a path with a line's end", fields: get("GET", "a", "/x HTTP/1.1\r\n\r\nGET /hidden")},
		{name: "a method with a space", fields: get("GET /hidden HTTP/1.1\r\n", "a", "/x")},
		{name: "an authority with a line's end", fields: get("GET", "a\r\nx: y", "/x")},
		{name: "two paths", fields: with(":path", "/hidden")},
		{name: "a pseudo-field behind others", fields: append([]string{"x", "y"}, post...)},
		{name: "an unknown pseudo-field", fields: with(":hidden", "1")},
		{name: "a host beside the authority", fields: with("host", "hidden"), forwarded: true}, // forwarded with :authority
		{name: "no path", fields: post[:len(post)-2]},
	}
}

// checkSmuggledStream sends a request over HTTP/2 and checks the status and the bytes that reach the server.
func checkSmuggledStream(t *testing.T, c *cell, tap *rawpeer.Tap, tc smuggledStream) {
	t.Helper()
	nc, f, err := rawpeer.OpenHTTP2(c.addr)
	if err != nil {
		t.Fatal(err)
	}
	f.WriteHeaders(http2.HeadersFrameParam{
		StreamID: 1, BlockFragment: rawpeer.Fields(tc.fields...), EndHeaders: true, EndStream: tc.body == "",
	})
	if tc.body != "" {
		f.WriteData(1, true, []byte(tc.body))
	}
	status := streamStatus(f)
	nc.Close()
	seen := tap.Drain()
	served := status == "200" && !tc.forwarded
	if served || strings.Contains(seen, "/hidden HTTP") || strings.Contains(seen, "Host: hidden") {
		t.Errorf("%s: status %s, the server saw %q; want the request rejected or served without its smuggled part",
			tc.name, status, seen)
	}
}

// streamStatus reads frames until the status of an answer. It returns the status, or "reset" if the stream is reset or
// GOAWAY comes first, or "closed" if the connection ends first.
func streamStatus(f *http2.Framer) (status string) {
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
	return status
}

// FuzzClient sends arbitrary bytes to a listener. The listener must continue to accept connections, and a request that
// reaches the server must not have both Content-Length and Transfer-Encoding.
func FuzzClient(f *testing.F) {
	for _, text := range smuggledMessages {
		f.Add([]byte(text))
	}
	f.Add([]byte(http2.ClientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	addr, tap := startTappedServer(f)
	c := newCellWithServers(f, webpeer.Protocol{}, webpeer.Protocol{}, nil, nil, config.Listener{HTTP2: 10}, addr)
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
				t.Errorf("the server got a head with both Transfer-Encoding and Content-Length: %q", head)
			}
		}
	})
}
