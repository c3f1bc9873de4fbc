package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

// startWithRawServer starts a node with a single server, whose responses handle writes to the connection.
func startWithRawServer(t *testing.T, handle func(nc net.Conn, r *http.Request)) *testNode {
	t.Helper()
	addr := testutil.Accept(t, func(nc net.Conn) {
		in := bufio.NewReader(nc)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			handle(nc, r)
			if r.URL.Query().Has("close") {
				return
			}
		}
	})
	instance := discovery.Instance{InstanceID: "s-0", HostPort: addr, Zone: "a", Lifecycle: "Ready", Weight: 1}
	n := start(t, testConfig(t, newFakeDiscovery(t, instance), nil))
	n.waitReady(http.StatusOK)
	return n
}

// responseForm is a form of a server's response.
type responseForm struct {
	response string // the whole response, with its framing
	wantBody string // the body that the client must get
	// closes reports that the end of the connection ends the response.
	closes bool
}

// responseForms returns forms of responses by their names.
func responseForms() map[string]responseForm {
	big := string(testutil.Bytes(200 << 10))
	return map[string]responseForm{
		"length": {response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", wantBody: "hello"},
		"chunks": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n",
			wantBody: "hello",
		},
		"1xx ahead": {
			response: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
				"HTTP/1.1 100 Continue\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			wantBody: "hello",
		},
		"ends with the connection": {
			response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
			wantBody: "hello",
			closes:   true,
		},
		"HTTP/1.0": {response: "HTTP/1.0 200 OK\r\n\r\nhello", wantBody: "hello", closes: true},
		"large": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(big)) + "\r\n\r\n" + big,
			wantBody: big,
		},
		"large, in chunks": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				fmt.Sprintf("%x\r\n%s\r\n", len(big), big) + "0\r\n\r\n",
			wantBody: big,
		},
		"large, to its end": {response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + big, wantBody: big, closes: true},
	}
}

// The client gets the body of responses in every form, sent at once or byte by byte.
func TestFormsOfAnswers(t *testing.T) {
	t.Parallel()
	forms := responseForms()
	n := startWithRawServer(t, func(nc net.Conn, r *http.Request) {
		q := r.URL.Query()
		piece, _ := strconv.Atoi(q.Get("piece"))
		drip(nc, forms[q.Get("form")].response, piece)
	})
	for name, c := range forms {
		for _, piece := range []int{1 << 30, 1} {
			if piece == 1 && len(c.response) > 100<<10 {
				piece = 1000
			}
			t.Run(fmt.Sprintf("%s by %d", name, piece), func(t *testing.T) {
				r := n.request("read")
				q := r.URL.Query()
				q.Set("form", name)
				q.Set("piece", strconv.Itoa(piece))
				if c.closes {
					q.Set("close", "1")
				}
				r.URL.RawQuery = q.Encode()
				if a := n.do(r); a.status != 200 || a.body != c.wantBody {
					t.Errorf("got status %d, %d bytes, want 200, %d bytes", a.status, len(a.body), len(c.wantBody))
				}
			})
		}
	}
}

// A server fails in the middle of a long response. A client of HTTP/1.0, which gets no chunks, must be able to tell that
// the response is incomplete. TestTransfers tests other clients, with failures at each quarter of the response.
func TestBreaksInMidAnswer(t *testing.T) {
	t.Parallel()
	const size = 400 << 10
	n := startWithRawServer(t, func(nc net.Conn, _ *http.Request) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", size, testutil.Bytes(size/2))
	})
	nc := n.dial()
	io.WriteString(nc, "GET /read?close=1 HTTP/1.0\r\nX-Request-ID: b1\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("the client takes %d bytes of %d for the complete body", len(body), size)
	}
}

// A response over 64 KiB continues after the client's deadline while it makes progress. A smaller slow response is
// buffered.
func TestSlowAnswers(t *testing.T) {
	t.Parallel()
	big := testutil.Bytes(256 << 10)
	n := startWithRawServer(t, func(nc net.Conn, r *http.Request) {
		if r.URL.Query().Get("size") == "big" {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(big))
			for part := range 8 {
				time.Sleep(100 * time.Millisecond) // 800 ms in all, which exceeds the client's 400 ms
				nc.Write(big[part*len(big)/8 : (part+1)*len(big)/8])
			}
			return
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		for _, c := range []byte("hello") {
			time.Sleep(60 * time.Millisecond) // five such pauses exceed AnswerTransferTimeout
			nc.Write([]byte{c})
		}
	})
	r := n.request("read")
	r.URL.RawQuery = "size=big"
	r.Header.Set("X-Timeout-Ms", "400")
	if a := n.do(r); a.status != 200 || a.body != string(big) {
		t.Errorf("large response: got status %d, %d bytes, want 200 and the whole body", a.status, len(a.body))
	}
	if a := n.do(n.request("read")); a.status != 200 || a.body != "hello" {
		t.Errorf("small response: got status %d, body %q, want 200, \"hello\"", a.status, a.body)
	}
}
