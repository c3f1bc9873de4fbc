package node

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"yokestall/internal/testutil"
)

// drip writes a text in pieces of a number of bytes.
func drip(nc net.Conn, text string, piece int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(nc, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// Requests in every form of HTTP/1.1 and 1.0, at once and byte by byte: the server gets the method, the target and
// the body unchanged, and the client the response.
func TestFormsOfRequests(t *testing.T) {
	t.Parallel()
	b := testutil.NewBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %x", r.Method, r.RequestURI, sha256.Sum256(body))
	})
	n, _ := startReady(t, b)
	id := 0
	fields := func() string {
		id++
		return "X-Request-ID: form-" + strconv.Itoa(id) + "\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n"
	}
	big := string(testutil.Bytes(300 << 10))
	var chunked strings.Builder
	for rest := big; rest != ""; {
		k := min(len(rest), 1+len(rest)%5000)
		fmt.Fprintf(&chunked, "%x;name=\"value\";more\r\n%s\r\n", k, rest[:k])
		rest = rest[k:]
	}
	for _, c := range []struct {
		name, start, more, body string
		method, target, want    string // as the server gets them
		close                   bool   // the connection ends with the response
	}{
		{"no body", "GET /read?obj=1 HTTP/1.1", "Host: x\r\n", "", "GET", "/read?obj=1", "", false},
		{"head", "HEAD /read HTTP/1.1", "Host: x\r\n", "", "HEAD", "/read", "", false},
		{"absolute target", "GET http://service.internal/read?obj=a%2Fb HTTP/1.1", "Host: x\r\n", "", "GET", "/read?obj=a%2Fb", "", false},
		{"length", "POST /pay HTTP/1.1", "Host: x\r\nContent-Length: 5\r\n", "hello", "POST", "/pay", "hello", false},
		{"a length of none", "POST /pay HTTP/1.1", "Host: x\r\nContent-Length: 0\r\n", "", "POST", "/pay", "", false},
		{"chunks", "POST /pay HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\n", "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "POST", "/pay", "hello", false},
		{"no chunk", "POST /pay HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", "POST", "/pay", "", false},
		{"extensions", "POST /pay HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\n", "5;a=b;c=\"d e\"\r\nhello\r\n0;last\r\n\r\n", "POST", "/pay", "hello", false},
		{"trailers", "POST /pay HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", "5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", "POST", "/pay", "hello", false},
		{"large chunks", "POST /pay HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\n", chunked.String() + "0\r\n\r\n", "POST", "/pay", big, false},
		{"large", "POST /pay HTTP/1.1", "Host: x\r\nContent-Length: " + strconv.Itoa(len(big)) + "\r\n", big, "POST", "/pay", big, false},
		{"larger than is held", "POST /pay HTTP/1.1", "Host: x\r\nContent-Length: " + strconv.Itoa(9*len(big)) + "\r\n", strings.Repeat(big, 9), "POST", "/pay", strings.Repeat(big, 9), false},
		{"larger, in chunks", "POST /pay HTTP/1.1", "Host: x\r\nTransfer-Encoding: chunked\r\n", strings.Repeat(chunked.String(), 9) + "0\r\n\r\n", "POST", "/pay", strings.Repeat(big, 9), false},
		{"expecting", "POST /pay HTTP/1.1", "Host: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n", "hello", "POST", "/pay", "hello", false},
		{"HTTP/1.0", "POST /pay HTTP/1.0", "Content-Length: 5\r\n", "hello", "POST", "/pay", "hello", true},
		{"asked to close", "GET /read HTTP/1.1", "Host: x\r\nConnection: close\r\n", "", "GET", "/read", "", true},
	} {
		for _, piece := range []int{1 << 30, 1} {
			if piece == 1 && len(c.body) > 100<<10 {
				piece = 1000 // the others are sent byte by byte
			}
			t.Run(fmt.Sprintf("%s by %d", c.name, piece), func(t *testing.T) {
				nc := (&running{t: t, addr: n.addr}).dial()
				text := c.start + "\r\n" + c.more + fields() + "\r\n"
				go drip(nc, text+c.body, piece)
				in := bufio.NewReader(nc)
				asked := &http.Request{Method: c.method}
				resp, err := http.ReadResponse(in, asked)
				for err == nil && resp.StatusCode == http.StatusContinue {
					resp, err = http.ReadResponse(in, asked)
				}
				if err != nil {
					t.Fatal(err)
				}
				answer, err := io.ReadAll(resp.Body)
				want := fmt.Sprintf("%s %s %x", c.method, c.target, sha256.Sum256([]byte(c.want)))
				if c.method == "HEAD" {
					want = ""
				}
				if err != nil || resp.StatusCode != 200 || string(answer) != want {
					t.Fatalf("status %d, %v, got %.200q, want %q", resp.StatusCode, err, answer, want)
				}
				if resp.Close != c.close {
					t.Errorf("the connection ends: %v, want %v", resp.Close, c.close)
				}
			})
		}
	}
	// Pipelined, with bodies between them: in their order.
	nc := (&running{t: t, addr: n.addr}).dial()
	var all strings.Builder
	for i := range 5 {
		fmt.Fprintf(&all, "POST /pay?n=%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n%s\r\nabc", i, fields())
	}
	go drip(nc, all.String(), 7)
	in := bufio.NewReader(nc)
	for i := range 5 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if answer, _ := io.ReadAll(resp.Body); !strings.HasPrefix(string(answer), fmt.Sprintf("POST /pay?n=%d ", i)) {
			t.Errorf("answer %d is %q", i, answer)
		}
	}
}
