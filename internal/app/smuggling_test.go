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

// Messages whose ends, names or targets two readers could see differently (RFC 9112, 11.2).
// Each ends in a request for /hidden that only a server that is led astray would see.
var smuggledMessages = []string{
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

// startTappedServer is a server whose bytes a test sees.
func startTappedServer(t testing.TB) (addr string, tap *rawpeer.Tap) {
	tap = &rawpeer.Tap{}
	return startRawServer(t, okAnswer, false, 1, tap).Addrs[0], tap
}

// Nothing that is hidden in a message reaches a server, over either version; and what is
// passed on has one length alone.
func TestSmuggling(t *testing.T) {
	addr, tap := startTappedServer(t)
	c := newCellTo(t, webpeer.Wire{}, webpeer.Wire{}, nil, nil, config.Listener{HTTP2: 10}, addr)
	for _, text := range smuggledMessages {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testutil.Patience))
		io.WriteString(nc, text)
		nc.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(nc)
		nc.Close()
		seen := tap.Take()
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
		seen := tap.Take()
		dropped := tc.name == "a host beside the authority" // what goes on has the authority alone
		if status == "200" && !dropped || strings.Contains(seen, "/hidden HTTP") || strings.Contains(seen, "Host: hidden") {
			t.Errorf("%s: status %s, the server saw %q", tc.name, status, seen)
		}
	}
}

// FuzzClient: whatever bytes a client sends, the listener lives, and a server sees whole
// requests with one length alone.
func FuzzClient(f *testing.F) {
	for _, text := range smuggledMessages {
		f.Add([]byte(text))
	}
	f.Add([]byte(http2.ClientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	addr, tap := startTappedServer(f)
	c := newCellTo(f, webpeer.Wire{}, webpeer.Wire{}, nil, nil, config.Listener{HTTP2: 10}, addr)
	f.Fuzz(func(t *testing.T, text []byte) {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testutil.Patience))
		nc.Write(text)
		nc.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, nc)
		nc.Close()
		for _, head := range bytes.SplitAfter([]byte(tap.Take()), []byte("\r\n\r\n")) {
			if bytes.Contains(head, []byte("Transfer-Encoding")) && bytes.Contains(head, []byte("Content-Length")) {
				t.Errorf("two lengths: %q", head)
			}
		}
	})
}
