package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// exchangeRaw sends a text and returns the statuses of the responses. The test fails unless the node closes the connection.
func (n *testNode) exchangeRaw(text string) (statuses []int) {
	n.t.Helper()
	nc := n.dial()
	go io.WriteString(nc, text)
	in := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(in, nil)
		if testutil.IsTimeout(err) {
			n.t.Fatal("the node does not close the connection")
		}
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, resp.Body); testutil.IsTimeout(err) {
			n.t.Fatal("the body of the response does not end")
		}
		statuses = append(statuses, resp.StatusCode)
	}
}

// badRequest is a text that a client sends, with the status of the only response to it.
type badRequest struct {
	name   string
	text   string
	status int // 0 if the connection is closed without a response
}

// badRequests returns requests that can be parsed in two ways, or not at all. Many contain smuggledRequest.
func badRequests() []badRequest {
	return slices.Concat(requestsWithTwoFramings(), requestsWithBadFraming(), requestsWithBadHeads())
}

// smuggledRequest is a request that must not reach a server.
const smuggledRequest = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: hidden\r\nX-Tenant-Id: acme\r\n" +
	"X-Timeout-Ms: 5000\r\n\r\n"

// smuggledChunks returns a chunked body whose content is smuggledRequest.
func smuggledChunks() string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggledRequest), smuggledRequest)
}

// validRequestIDs is the number of request IDs that validHead has used.
var validRequestIDs atomic.Int64

// validHead returns the head of a valid request of a class, with a new request ID at each call. fields are further header
// fields.
func validHead(class, fields string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: shown-%d\r\n", class, validRequestIDs.Add(1)) +
		"X-Tenant-Id: acme\r\nX-Timeout-Ms: 5000\r\n" + fields + "\r\n"
}

// overHTTP10 changes the version of a request head from HTTP/1.1 to HTTP/1.0.
func overHTTP10(head string) string { return strings.Replace(head, "1.1", "1.0", 1) }

// requestsWithTwoFramings returns requests whose end depends on which of their framing headers a parser uses.
func requestsWithTwoFramings() []badRequest {
	return []badRequest{
		{
			name:   "both framing headers",
			text:   validHead("pay", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + smuggledChunks() + smuggledRequest,
			status: 200,
		},
		{
			name:   "the other way round",
			text:   validHead("pay", "Transfer-Encoding: chunked\r\ncontent-LENGTH : 5\r\n") + smuggledChunks() + smuggledRequest,
			status: 400,
		},
		{
			name:   "hidden by length 0",
			text:   validHead("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + smuggledChunks() + smuggledRequest,
			status: 200,
		},
		{
			name:   "both, before others",
			text:   validHead("pay", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + smuggledRequest,
			status: 200,
		},
		{
			name: "coding in HTTP/1.0",
			text: overHTTP10(validHead("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\nConnection: keep-alive\r\n")) +
				smuggledRequest,
			status: 400,
		},
		{
			name:   "behind HTTP/1.0",
			text:   overHTTP10(validHead("pay", "Content-Length: 2\r\nConnection: keep-alive\r\n")) + "ab" + smuggledRequest,
			status: 200,
		},
		{
			name:   "unknown coding",
			text:   validHead("pay", "Transfer-Encoding: gzip, chunked\r\n") + smuggledChunks(),
			status: 501,
		},
		{
			name:   "two codings",
			text:   validHead("pay", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + smuggledRequest,
			status: 501,
		},
		{
			name: "health, both",
			text: "GET /health/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" +
				smuggledChunks() + smuggledRequest,
			status: 200,
		},
	}
}

// requestsWithBadFraming returns requests with invalid lengths or chunks.
func requestsWithBadFraming() []badRequest {
	return []badRequest{
		{
			name:   "two lengths",
			text:   validHead("pay", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab",
			status: 400,
		},
		{name: "length no number", text: validHead("pay", "Content-Length: two\r\n") + "ab", status: 400},
		{name: "negative length", text: validHead("pay", "Content-Length: -2\r\n") + "ab", status: 400},
		{
			name:   "endless length",
			text:   validHead("pay", "Content-Length: 99999999999999999999\r\n") + "ab",
			status: 400,
		},
		{name: "huge length", text: validHead("pay", "Content-Length: 3000000000\r\n") + "ab", status: 413},
		{name: "length over the body", text: validHead("pay", "Content-Length: 20\r\n") + "ab", status: 408},
		{
			name:   "chunk no number",
			text:   validHead("pay", "Transfer-Encoding: chunked\r\n") + "zz\r\n" + smuggledRequest,
			status: 400,
		},
		{
			name:   "huge chunk",
			text:   validHead("pay", "Transfer-Encoding: chunked\r\n") + "fffffffffffffffff\r\n" + smuggledRequest,
			status: 400,
		},
		{
			name:   "body not wanted",
			text:   strings.Replace(validHead("read", "Content-Length: 20\r\n"), "POST", "GET", 1) + "ab",
			status: 400,
		},
	}
}

// requestsWithBadHeads returns texts without a complete, valid head.
func requestsWithBadHeads() []badRequest {
	return []badRequest{
		{name: "noise", text: "\x00\x01\x02\xff\r\n\r\n", status: 400},
		{name: "head without end", text: "GET /read HTTP/1.1\r\nHost: x\r\nX-Filler: 1\r\n"},
		{name: "endless line", text: "GET /read HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), status: 431},
		{name: "nothing", text: ""},
	}
}

// A request that can be parsed in two ways may smuggle a second request. The smuggled request must not reach a server,
// whatever the response to the request that contains it. A request that can't be parsed must not occupy its connection, reach
// a server, or prevent the node from serving other clients.
func TestBadBytes(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n, _ := startReady(t, b)
	for _, c := range badRequests() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := &testNode{t: t, addr: n.addr}
			began := time.Now()
			got := n.exchangeRaw(c.text)
			switch {
			case c.status == 0 && len(got) == 0:
			case len(got) == 1 && got[0] == c.status:
			default:
				t.Errorf("got responses with statuses %v, want %d alone (0: none)", got, c.status)
			}
			t.Logf("took %v", time.Since(began))
		})
	}
	t.Cleanup(func() { // runs after the parallel subtests
		for len(b.Requests) > 0 {
			if got := <-b.Requests; got.Header.Get("X-Request-ID") == "hidden" {
				t.Error("a smuggled request reached a server")
			}
		}
		if a := n.do(n.request("read")); a.status != http.StatusOK {
			t.Errorf("a valid request after the bad ones: got status %d, want 200", a.status)
		}
	})
}
