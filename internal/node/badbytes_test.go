package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"yokestall/internal/testutil"
)

// raw sends a text and returns the statuses of the responses until the node closes the
// connection, which it has to.
func (n *running) raw(text string) (statuses []int) {
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

// A request that can be parsed in two ways may smuggle another one: the hidden one must not reach a server, whatever
// becomes of the one that hides it. A request that can't be parsed must not occupy its connection, reach a server, or
// prevent the node from serving others.
func TestBadBytes(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, testutil.OK)
	n, _ := startReady(t, b)
	ids := 0
	head := func(class, more string) string {
		ids++
		return "POST /" + class + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: shown-" + strconv.Itoa(ids) + "\r\nX-Tenant-Id: acme\r\n" +
			"X-Timeout-Ms: 5000\r\n" + more + "\r\n"
	}
	hidden := "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: hidden\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 5000\r\n\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, c := range map[string]struct {
		text   string
		status int // 0: just closed
	}{
		"both framing headers": {head("pay", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + chunks + hidden, 200},
		"the other way round":  {head("pay", "Transfer-Encoding: chunked\r\ncontent-LENGTH : 5\r\n") + chunks + hidden, 400},
		"hidden by length 0":   {head("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n") + chunks + hidden, 200},
		"both, before others":  {head("pay", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, 200},
		"coding in HTTP/1.0":   {strings.Replace(head("pay", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\nConnection: keep-alive\r\n"), "1.1", "1.0", 1) + hidden, 400},
		"behind HTTP/1.0":      {strings.Replace(head("pay", "Content-Length: 2\r\nConnection: keep-alive\r\n"), "1.1", "1.0", 1) + "ab" + hidden, 200},
		"unknown coding":       {head("pay", "Transfer-Encoding: gzip, chunked\r\n") + chunks, 501},
		"two codings":          {head("pay", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n") + hidden, 501},
		"health, both":         {"GET /health/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" + chunks + hidden, 200},
		"two lengths":          {head("pay", "Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", 400},
		"length no number":     {head("pay", "Content-Length: two\r\n") + "ab", 400},
		"negative length":      {head("pay", "Content-Length: -2\r\n") + "ab", 400},
		"endless length":       {head("pay", "Content-Length: 99999999999999999999\r\n") + "ab", 400},
		"huge length":          {head("pay", "Content-Length: 3000000000\r\n") + "ab", 413},
		"length over the body": {head("pay", "Content-Length: 20\r\n") + "ab", 408},
		"chunk no number":      {head("pay", "Transfer-Encoding: chunked\r\n") + "zz\r\n" + hidden, 400},
		"huge chunk":           {head("pay", "Transfer-Encoding: chunked\r\n") + "fffffffffffffffff\r\n" + hidden, 400},
		"body not wanted":      {strings.Replace(head("read", "Content-Length: 20\r\n"), "POST", "GET", 1) + "ab", 400},
		"noise":                {"\x00\x01\x02\xff\r\n\r\n", 400},
		"head without end":     {"GET /read HTTP/1.1\r\nHost: x\r\nX-Filler: 1\r\n", 0},
		"endless line":         {"GET /read HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), 431},
		"nothing":              {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := &running{t: t, addr: n.addr}
			began := time.Now()
			got := n.raw(c.text)
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
		for len(b.Got) > 0 {
			if got := <-b.Got; got.Header.Get("X-Request-ID") == "hidden" {
				t.Error("a hidden request reached a server")
			}
		}
		if a := n.do(n.request("read")); a.status != http.StatusOK {
			t.Errorf("a good one gets status %d afterwards", a.status)
		}
	})
}
