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

// exchangeRaw sends a text and returns the statuses of the responses until the node closes the
// connection, which it has to.
func (n *running) exchangeRaw(text string) (statuses []int) {
	n.t.Helper()
	nc := n.dial()
	go io.WriteString(nc, text)
	in := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(in, nil)
		if testutil.IsTimeout(err) {
			n.t.Fatal("the node keeps the connection")
		}
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, resp.Body); testutil.IsTimeout(err) {
			n.t.Fatal("the answer doesn't end")
		}
		statuses = append(statuses, resp.StatusCode)
	}
}

// badRequest is a text that a client sends, and the status of the only response.
type badRequest struct {
	name   string
	text   string
	status int // 0: the connection is just closed
}

// badRequests returns requests that can be parsed in two ways, or not at all. Many hide hiddenRequest.
func badRequests() []badRequest {
	return slices.Concat(requestsWithTwoFramings(), requestsWithBadFraming(), requestsWithBadHeads())
}

// hiddenRequest is a request that must not reach a server.
const hiddenRequest = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: hidden\r\nX-Tenant-Id: acme\r\n" +
	"X-Timeout-Ms: 5000\r\n\r\n"

// hiddenChunks returns a chunked body that is hiddenRequest.
func hiddenChunks() string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hiddenRequest), hiddenRequest)
}

// shownIDs counts the heads of shownHead.
var shownIDs atomic.Int64

// shownHead returns the head of a valid request of a class, with another id each time, and further fields.
func shownHead(class, fields string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: shown-%d\r\n", class, shownIDs.Add(1)) +
		"X-Tenant-Id: acme\r\nX-Timeout-Ms: 5000\r\n" + fields + "\r\n"
}

// overHTTP10 returns a head in HTTP/1.0 instead of 1.1.
func overHTTP10(head string) string { return strings.Replace(head, "1.1", "1.0", 1) }

// requestsWithTwoFramings returns requests whose end depends on which of their fields is read.
func requestsWithTwoFramings() []badRequest {
	return []badRequest{
		{
			name:   "both framing headers",
			text:   shownHead("pay", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + hiddenChunks() + hiddenRequest,
			status: 200,
		},
		{
			name:   "the other way round",
			text:   shownHead("pay", "Transfer-Encoding: chunked\r\ncontent-LENGTH : 5\r\n") + hiddenChunks() + hiddenRequest,
			status: 400,
		},
		{
			name:   "hidden by length 0",
			text:   shownHead("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + hiddenChunks() + hiddenRequest,
			status: 200,
		},
		{
			name:   "both, before others",
			text:   shownHead("pay", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hiddenRequest,
			status: 200,
		},
		{
			name: "coding in HTTP/1.0",
			text: overHTTP10(shownHead("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\nConnection: keep-alive\r\n")) +
				hiddenRequest,
			status: 400,
		},
		{
			name:   "behind HTTP/1.0",
			text:   overHTTP10(shownHead("pay", "Content-Length: 2\r\nConnection: keep-alive\r\n")) + "ab" + hiddenRequest,
			status: 200,
		},
		{
			name:   "unknown coding",
			text:   shownHead("pay", "Transfer-Encoding: gzip, chunked\r\n") + hiddenChunks(),
			status: 501,
		},
		{
			name:   "two codings",
			text:   shownHead("pay", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + hiddenRequest,
			status: 501,
		},
		{
			name: "health, both",
			text: "GET /health/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" +
				hiddenChunks() + hiddenRequest,
			status: 200,
		},
	}
}

// requestsWithBadFraming returns requests with lengths or chunks that are invalid.
func requestsWithBadFraming() []badRequest {
	return []badRequest{
		{
			name:   "two lengths",
			text:   shownHead("pay", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab",
			status: 400,
		},
		{name: "length no number", text: shownHead("pay", "Content-Length: two\r\n") + "ab", status: 400},
		{name: "negative length", text: shownHead("pay", "Content-Length: -2\r\n") + "ab", status: 400},
		{
			name:   "endless length",
			text:   shownHead("pay", "Content-Length: 99999999999999999999\r\n") + "ab",
			status: 400,
		},
		{name: "huge length", text: shownHead("pay", "Content-Length: 3000000000\r\n") + "ab", status: 413},
		{name: "length over the body", text: shownHead("pay", "Content-Length: 20\r\n") + "ab", status: 408},
		{
			name:   "chunk no number",
			text:   shownHead("pay", "Transfer-Encoding: chunked\r\n") + "zz\r\n" + hiddenRequest,
			status: 400,
		},
		{
			name:   "huge chunk",
			text:   shownHead("pay", "Transfer-Encoding: chunked\r\n") + "fffffffffffffffff\r\n" + hiddenRequest,
			status: 400,
		},
		{
			name:   "body not wanted",
			text:   strings.Replace(shownHead("read", "Content-Length: 20\r\n"), "POST", "GET", 1) + "ab",
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

// A request that can be parsed in two ways may smuggle another one: the hidden one must not reach a server, whatever
// becomes of the one that hides it. A request that can't be parsed must not occupy its connection, reach a server, or
// prevent the node from serving others.
func TestBadBytes(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n, _ := startReady(t, b)
	for _, c := range badRequests() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := &running{t: t, addr: n.addr}
			began := time.Now()
			got := n.exchangeRaw(c.text)
			switch {
			case c.status == 0 && len(got) == 0:
			case len(got) == 1 && got[0] == c.status:
			default:
				t.Errorf("answers %v, want %d", got, c.status)
			}
			t.Logf("took %v", time.Since(began))
		})
	}
	t.Cleanup(func() { // after the parallel subtests
		for len(b.Requests) > 0 {
			if got := <-b.Requests; got.Header.Get("X-Request-ID") == "hidden" {
				t.Error("a hidden request reached a server")
			}
		}
		if a := n.do(n.request("read")); a.status != http.StatusOK {
			t.Errorf("a good one gets status %d afterwards", a.status)
		}
	})
}
