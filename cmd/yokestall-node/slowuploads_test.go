package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

// uploadPlan is a request with a large body, and the way its endpoint reads it.
type uploadPlan struct {
	size         int
	chunked      bool
	clientRate   int // bytes per second; 0: no limit
	endpointRate int // bytes per second; 0: no limit; negative: the endpoint stops reading after 20,000 bytes
}

// String returns a name of the plan for messages.
func (p uploadPlan) String() string {
	return fmt.Sprintf("%d bytes, chunked %v, client %d, endpoint %d bytes a second", p.size, p.chunked, p.clientRate, p.endpointRate)
}

// serveUploads serves a connection to an endpoint that reads a request's body at the rate in its query, until ended is closed.
func serveUploads(nc net.Conn, ended <-chan struct{}) {
	const stopAfter = 20_000 // bytes
	nc.(*net.TCPConn).SetReadBuffer(64 << 10)
	in := bufio.NewReader(nc)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	rate, _ := strconv.Atoi(r.URL.Query().Get("rate"))
	if rate < 0 {
		io.CopyN(io.Discard, r.Body, stopAfter)
		<-ended
		return
	}
	n, err := io.Copy(io.Discard, &testutil.SlowReader{Reader: r.Body, Rate: rate})
	if err == nil {
		body := strconv.FormatInt(n, 10)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// upload sends a request by the plan. It returns the answer, with times that count from the client's last write, or from the
// write that failed because the node had answered and closed the connection.
func upload(t *testing.T, addr, id string, timeout time.Duration, p uploadPlan) timedAnswer {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return timedAnswer{}
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	framing := fmt.Sprintf("Content-Length: %d", p.size)
	if p.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(nc, "POST /pay?rate=%d HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n\r\n",
		p.endpointRate, id, timeout.Milliseconds(), framing)
	body := &testutil.SlowReader{Reader: &testutil.Pattern{Size: p.size}, Rate: p.clientRate}
	if !p.chunked {
		io.Copy(nc, body)
	} else {
		var text strings.Builder
		io.Copy(&text, body)
		fmt.Fprintf(nc, "%x\r\n%s\r\n0\r\n\r\n", p.size, text.String())
	}
	sent := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return timedAnswer{end: time.Since(sent)}
	}
	got, err := io.ReadAll(resp.Body)
	return timedAnswer{
		status: resp.StatusCode, complete: err == nil && string(got) == strconv.Itoa(p.size), end: time.Since(sent),
	}
}

// Guards against a request that gets its final answer seconds late because an endpoint reads its body slowly or not at all:
// its time begins with the client's last write, although the node has not read the body's end.
func TestUploadsThatAreReadSlowly(t *testing.T) {
	const timeout = 800 * time.Millisecond
	addr := startUploadServers(t)
	var running sync.WaitGroup
	for i, p := range []uploadPlan{
		{size: 1_128_936, endpointRate: -1},
		{size: 3_000_000, endpointRate: -1, chunked: true},
		{size: 6_000_000, endpointRate: -1},
		{size: 6_000_000, endpointRate: -1, chunked: true},
		{size: 6_000_000, endpointRate: 1 << 20},
		{size: 500_000, endpointRate: -1},
		{size: 2_000_000, endpointRate: 300 << 10},
		{size: 2_000_000, endpointRate: 300 << 10, chunked: true},
		{size: 1_500_000, endpointRate: -1, clientRate: 2 << 20},
	} {
		running.Go(func() {
			a := upload(t, addr, fmt.Sprintf("slow-%d", i), timeout, p)
			if a.status == 0 || a.end > timeout+answerGrace {
				t.Errorf("%v: status %d after %v; want a final answer within %v", p, a.status, a.end, timeout)
			}
		})
	}
	running.Wait()
}

// largeUpload is a body that is longer than what the kernels hold, and that its endpoint reads within 1.7 s.
var largeUpload = uploadPlan{size: 20 << 20, endpointRate: 12 << 20}

// Guards against an upload that is given up although its client is still sending: however long the body takes, the time of
// the request has not begun while the node waits for the client.
func TestUploadsThatAreSentSlowly(t *testing.T) {
	const timeout = time.Second
	addr := startUploadServers(t)
	largeSentSlowly := largeUpload
	largeSentSlowly.clientRate = 8 << 20
	var running sync.WaitGroup
	for i, p := range []uploadPlan{
		{size: 1_200_000, clientRate: 600 << 10},
		{size: 600_000, clientRate: 300 << 10, chunked: true},
		largeSentSlowly,
		{size: 2_000_000},
		{size: 2_000_000, chunked: true},
	} {
		running.Go(func() {
			a := upload(t, addr, fmt.Sprintf("sent-%d", i), timeout, p)
			if a.status != http.StatusOK || !a.complete {
				t.Errorf("%v: status %d after %v, whole %v; want 200", p, a.status, a.end, a.complete)
			}
		})
	}
	running.Wait()
}

// Guards against an upload that is given up within its time, or answered after it, where its endpoint reads more slowly than
// its client writes: the time runs from the first byte then, since bytes lie unread all along.
func TestLargeUploadsThatTheirEndpointHoldsBack(t *testing.T) {
	addr := startUploadServers(t)
	var running sync.WaitGroup
	for i, timeout := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		running.Go(func() {
			start := time.Now()
			a := upload(t, addr, fmt.Sprintf("held-%d", i), timeout, largeUpload)
			if took := time.Since(start); a.status == 0 || took > timeout+answerGrace {
				t.Errorf("time %v: status %d after %v; want a final answer within the time", timeout, a.status, took)
			}
			if i == 1 && (a.status != http.StatusOK || !a.complete) {
				t.Errorf("time %v: status %d, whole %v; want 200", timeout, a.status, a.complete)
			}
		})
	}
	running.Wait()
}

// startUploadServers starts a node with endpoints that read bodies as the requests say, and returns the node's address.
func startUploadServers(t *testing.T) (addr string) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	var instances []discovery.Instance
	for i := range 10 {
		address := testutil.Accept(t, func(nc net.Conn) { serveUploads(nc, ended) })
		instances = append(instances, discovery.Instance{
			InstanceID: fmt.Sprintf("s-%d", i), HostPort: address, Lifecycle: "Ready", Zone: "a", Weight: 1,
		})
	}
	r := newRigWith(t, rigOptions{memoryMB: minMemoryLimitMB}, instances...)
	r.startNode()
	return r.Addr
}
