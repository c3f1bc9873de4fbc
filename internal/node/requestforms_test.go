package node

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"yokestall/internal/testutil"
)

// drip writes a text in pieces of the given number of bytes.
func drip(nc net.Conn, text string, piece int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(nc, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// requestForm is a form of a request.
type requestForm struct {
	name   string
	line   string // the request line without its line end
	fields string // the header fields besides platformFields
	body   string // the body with its framing
	// wantMethod, wantTarget and wantBody are what the server must get.
	wantMethod, wantTarget, wantBody string
	// closes reports that the connection ends with the response.
	closes bool
}

// largeFormSize is the size of a large body in bytes. A body of nine times that size is too large to be buffered.
const largeFormSize = 300 << 10

// requestForms returns forms of HTTP/1.1 and HTTP/1.0 requests.
func requestForms() []requestForm {
	return slices.Concat(formsWithoutBody(), formsWithLength(), formsInChunks())
}

// formsWithoutBody returns requests that have no body.
func formsWithoutBody() []requestForm {
	return []requestForm{
		{
			name:       "no body",
			line:       "GET /read?obj=1 HTTP/1.1",
			fields:     "Host: x\r\n",
			wantMethod: "GET",
			wantTarget: "/read?obj=1",
		},
		{
			name:       "head",
			line:       "HEAD /read HTTP/1.1",
			fields:     "Host: x\r\n",
			wantMethod: "HEAD",
			wantTarget: "/read",
		},
		{
			name:       "absolute target",
			line:       "GET http://service.internal/read?obj=a%2Fb HTTP/1.1",
			fields:     "Host: x\r\n",
			wantMethod: "GET",
			wantTarget: "/read?obj=a%2Fb",
		},
		{
			name:       "asked to close",
			line:       "GET /read HTTP/1.1",
			fields:     "Host: x\r\nConnection: close\r\n",
			wantMethod: "GET",
			wantTarget: "/read",
			closes:     true,
		},
	}
}

// formsWithLength returns requests whose bodies have a Content-Length.
func formsWithLength() []requestForm {
	big := string(testutil.Bytes(largeFormSize))
	return []requestForm{
		{
			name:       "length",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nContent-Length: 5\r\n",
			body:       "hello",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   "hello",
		},
		{
			name:       "a length of none",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nContent-Length: 0\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
		},
		{
			name:       "large",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nContent-Length: " + strconv.Itoa(len(big)) + "\r\n",
			body:       big,
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   big,
		},
		{
			name:       "larger than is buffered",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nContent-Length: " + strconv.Itoa(9*len(big)) + "\r\n",
			body:       strings.Repeat(big, 9),
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   strings.Repeat(big, 9),
		},
		{
			name:       "expecting",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n",
			body:       "hello",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   "hello",
		},
		{
			name:       "HTTP/1.0",
			line:       "POST /pay HTTP/1.0",
			fields:     "Content-Length: 5\r\n",
			body:       "hello",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   "hello",
			closes:     true,
		},
	}
}

// formsInChunks returns requests whose bodies are chunked.
func formsInChunks() []requestForm {
	big := string(testutil.Bytes(largeFormSize))
	chunked := chunksOf(big)
	return []requestForm{
		{
			name:       "chunks",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nTransfer-Encoding: chunked\r\n",
			body:       "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   "hello",
		},
		{
			name:       "no chunk",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nTransfer-Encoding: chunked\r\n",
			body:       "0\r\n\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
		},
		{
			name:       "extensions",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nTransfer-Encoding: chunked\r\n",
			body:       "5;a=b;c=\"d e\"\r\nhello\r\n0;last\r\n\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   "hello",
		},
		{
			name:       "trailers",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n",
			body:       "5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   "hello",
		},
		{
			name:       "large chunks",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nTransfer-Encoding: chunked\r\n",
			body:       chunked + "0\r\n\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   big,
		},
		{
			name:       "larger, in chunks",
			line:       "POST /pay HTTP/1.1",
			fields:     "Host: x\r\nTransfer-Encoding: chunked\r\n",
			body:       strings.Repeat(chunked, 9) + "0\r\n\r\n",
			wantMethod: "POST",
			wantTarget: "/pay",
			wantBody:   strings.Repeat(big, 9),
		},
	}
}

// chunksOf returns a body in chunks of many sizes with chunk extensions. The last, empty chunk is left out.
func chunksOf(body string) string {
	var chunks strings.Builder
	for rest := body; rest != ""; {
		k := min(len(rest), 1+len(rest)%5000)
		fmt.Fprintf(&chunks, "%x;name=\"value\";more\r\n%s\r\n", k, rest[:k])
		rest = rest[k:]
	}
	return chunks.String()
}

// formIDs is the number of request IDs that platformFields has used.
var formIDs atomic.Int64

// platformFields returns the header fields that the platform requires, with a new request ID at each call.
func platformFields() string {
	return fmt.Sprintf("X-Request-ID: form-%d\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n", formIDs.Add(1))
}

// describeRequest responds with the method, the target and a hash of the body.
func describeRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %x", r.Method, r.RequestURI, sha256.Sum256(body))
}

// For requests in every form of HTTP/1.1 and HTTP/1.0, sent at once or byte by byte, the server gets the method, the target
// and the body unchanged, and the client gets the response. Pipelined requests are answered in order.
func TestFormsOfRequests(t *testing.T) {
	t.Parallel()
	n, _ := startReady(t, testutil.NewBackend(t, describeRequest))
	for _, c := range requestForms() {
		for _, piece := range []int{1 << 30, 1} {
			if piece == 1 && len(c.body) > 100<<10 {
				piece = 1000 // a large body is sent in larger pieces than one byte
			}
			t.Run(fmt.Sprintf("%s by %d", c.name, piece), func(t *testing.T) { checkRequestForm(t, n.addr, c, piece) })
		}
	}
	checkPipelinedBodies(t, n.addr)
}

// checkRequestForm sends a request to a node in pieces of the given number of bytes and checks the response.
func checkRequestForm(t *testing.T, addr string, c requestForm, piece int) {
	nc := (&testNode{t: t, addr: addr}).dial()
	go drip(nc, c.line+"\r\n"+c.fields+platformFields()+"\r\n"+c.body, piece)
	in := bufio.NewReader(nc)
	request := &http.Request{Method: c.wantMethod}
	resp, err := http.ReadResponse(in, request)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(in, request)
	}
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	want := fmt.Sprintf("%s %s %x", c.wantMethod, c.wantTarget, sha256.Sum256([]byte(c.wantBody)))
	if c.wantMethod == "HEAD" {
		want = ""
	}
	if err != nil || resp.StatusCode != 200 || string(body) != want {
		t.Fatalf("got status %d, error %v, body %.200q, want 200 and body %q", resp.StatusCode, err, body, want)
	}
	if resp.Close != c.closes {
		t.Errorf("the connection ends with the response: got %v, want %v", resp.Close, c.closes)
	}
}

// checkPipelinedBodies pipelines requests with bodies and checks the order of the responses.
func checkPipelinedBodies(t *testing.T, addr string) {
	const requests = 5
	nc := (&testNode{t: t, addr: addr}).dial()
	var all strings.Builder
	for i := range requests {
		fmt.Fprintf(&all, "POST /pay?n=%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n%s\r\nabc", i, platformFields())
	}
	go drip(nc, all.String(), 7)
	in := bufio.NewReader(nc)
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); !strings.HasPrefix(string(body), fmt.Sprintf("POST /pay?n=%d ", i)) {
			t.Errorf("response %d is %q, want that to the request with the same number", i, body)
		}
	}
}
