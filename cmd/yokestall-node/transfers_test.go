package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/testutil"
)

var (
	transfers = flag.Int("transfers", 24, "number of concurrent transfers in TestTransfers")
	megabytes = flag.Int("megabytes", 2, "size of each transfer, in MiB")
	slowRate  = flag.Int("slow", 1024, "rate of a slow client or endpoint, in KiB per second")
)

// transferHandler handles the transfers' requests at the endpoint. The query of a request has the transfer's number (n)
// and may have the endpoint's rate in bytes per second (rate) and the number of quarters of the response after which the
// endpoint fails (quarter). size is the size of a response's body, in bytes.
type transferHandler struct{ size int }

// ServeHTTP implements http.Handler.
func (h transferHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("n"))
	rate, _ := strconv.Atoi(q.Get("rate"))
	if r.Method == http.MethodPost {
		h.receive(w, &testutil.SlowReader{Reader: r.Body, Rate: rate})
		return
	}
	if n%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(h.size))
	}
	body := &testutil.SlowReader{Reader: &testutil.Pattern{Number: n, Size: h.size}, Rate: rate}
	if q.Has("quarter") {
		quarter, _ := strconv.Atoi(q.Get("quarter"))
		io.CopyN(w, body, int64(quarter*h.size/4))
		panic(http.ErrAbortHandler)
	}
	io.Copy(w, body)
}

// receive reads an upload's body and responds with the checksum.
func (h transferHandler) receive(w io.Writer, body io.Reader) {
	sum := sha256.New()
	if _, err := io.Copy(sum, body); err != nil {
		return
	}
	io.WriteString(w, hex.EncodeToString(sum.Sum(nil)))
}

// checksum returns the hexadecimal SHA-256 of the body of transfer n with the given size in bytes.
func checksum(n, size int) string {
	sum := sha256.New()
	io.Copy(sum, &testutil.Pattern{Number: n, Size: size})
	return hex.EncodeToString(sum.Sum(nil))
}

// transferTest is a client that makes transfers through a node.
type transferTest struct {
	*testing.T
	addr            string       // address of the node
	size            int          // size of each transfer, in bytes
	moved, rejected atomic.Int64 // bytes transferred, and transfers rejected
}

// transfer is a response's or an upload's body that passes through the node.
type transfer struct {
	number       int
	upload       bool
	clientRate   int // bytes per second; 0: unlimited
	endpointRate int // bytes per second; 0: unlimited
	failAfter    int // quarters of the response after which the endpoint fails; 0: no failure
}

// newTransfer returns transfer n. Among each eight consecutive transfers, a response and an upload have a slow client, a
// response and an upload have a slow endpoint, and the other four are not slow.
func newTransfer(n int) transfer {
	x := transfer{number: n, upload: n%4 >= 2}
	switch {
	case n%2 == 0:
	case n%8 < 4:
		x.clientRate = *slowRate << 10
	default:
		x.endpointRate = *slowRate << 10
	}
	return x
}

// query returns the query of the transfer's request, as transferHandler reads it.
func (x transfer) query() string {
	q := "n=" + strconv.Itoa(x.number)
	if x.endpointRate > 0 {
		q += "&rate=" + strconv.Itoa(x.endpointRate)
	}
	if x.failAfter > 0 {
		q += "&quarter=" + strconv.Itoa(x.failAfter)
	}
	return q
}

// begin sends a transfer's request with the given request ID, including the body of an upload, and reads the response's
// header. On success the caller closes the connection.
func (c *transferTest) begin(id int, x transfer) (*http.Response, net.Conn, error) {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return nil, nil, err
	}
	conn.SetDeadline(time.Now().Add(10 * testutil.WaitTimeout))
	start, length := "GET /read", ""
	if x.upload {
		start, length = "POST /pay", "Content-Length: "+strconv.Itoa(c.size)+"\r\n"
	}
	fmt.Fprintf(conn, "%s?%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: t%d\r\nX-Timeout-Ms: 10000\r\n%s\r\n",
		start, x.query(), id, length)
	if x.upload {
		body := &testutil.SlowReader{Reader: &testutil.Pattern{Number: x.number, Size: c.size}, Rate: x.clientRate}
		if _, err := io.Copy(conn, body); err != nil {
			conn.Close()
			return nil, nil, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return resp, conn, err
}

// run makes a transfer and, unless the node rejects it, checks that the body arrives unchanged.
func (c *transferTest) run(x transfer) {
	resp, conn, err := c.begin(x.number, x)
	if err != nil {
		c.Errorf("transfer %+v failed: %v", x, err)
		return
	}
	defer conn.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.rejected.Add(1)
		return
	}
	sum, err := readChecksum(&testutil.SlowReader{Reader: resp.Body, Rate: x.clientRate}, x.upload)
	if err != nil || resp.StatusCode != 200 || sum != checksum(x.number, c.size) {
		c.Errorf("transfer %+v: got status %d, error %v, checksum %.70s; want status 200, no error and the checksum of the body",
			x, resp.StatusCode, err, sum)
	}
	c.moved.Add(int64(c.size))
}

// readChecksum returns the checksum of a response's body or, for an upload, the checksum that the response contains.
func readChecksum(body io.Reader, upload bool) (string, error) {
	if upload {
		text, _ := io.ReadAll(body)
		return string(text), nil
	}
	sum := sha256.New()
	_, err := io.Copy(sum, body)
	return hex.EncodeToString(sum.Sum(nil)), err
}

// runBroken makes a transfer whose endpoint fails after the given number of quarters of the response, and another one
// whose client disconnects after that number.
func (c *transferTest) runBroken(quarters int) {
	resp, conn, err := c.begin(1000+quarters, transfer{number: quarters, failAfter: quarters})
	if err != nil {
		c.Errorf("transfer with a failing endpoint: no response: %v", err)
		return
	}
	defer conn.Close()
	if got, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		c.Errorf("a response whose endpoint failed ended without an error after %d bytes, want an error", got)
	}
	if resp, conn, err := c.begin(2000+quarters, transfer{number: quarters}); err == nil {
		io.CopyN(io.Discard, resp.Body, int64(quarters*c.size/4))
		conn.Close()
	}
}

// Guards against long responses and uploads that are corrupted or that exceed the node's memory limit. Concurrent
// transfers, half of them with a slow client or a slow endpoint, must arrive unchanged while the clients or endpoints of
// other transfers fail.
func TestTransfers(t *testing.T) {
	c := &transferTest{T: t, size: *megabytes << 20}
	listener := testutil.Listen(t)
	server := &http.Server{Handler: transferHandler{c.size}}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	r := newRig(t, true, 0, discovery.Instance{
		InstanceID: "s-0", HostPort: listener.Addr().String(), Lifecycle: "Ready", Zone: "a", Weight: 1,
	})
	node := r.startNode()
	c.addr = r.Addr
	idlePeak := node.PeakMB()

	var running sync.WaitGroup
	for n := range *transfers {
		time.Sleep(5 * time.Millisecond) // so that the transfers overlap but do not all arrive at the same moment
		running.Go(func() { c.run(newTransfer(n)) })
	}
	for quarters := 1; quarters < 4; quarters++ {
		running.Go(func() { c.runBroken(quarters) })
	}
	running.Wait()
	peak := node.PeakMB()
	t.Logf("%d transfers of %d MiB: %d MiB transferred, %d rejected; node: peak memory %.0f MB, limit %d MB, idle peak %.0f MB",
		*transfers, *megabytes, c.moved.Load()>>20, c.rejected.Load(), peak, memoryLimitMB, idlePeak)
	if !raceEnabled && peak > memoryLimitMB {
		t.Errorf("peak memory of the node is %.0f MB, want at most its limit of %d MB", peak, memoryLimitMB)
	}
	if c.rejected.Load() > int64(*transfers/10) {
		t.Errorf("%d transfers were rejected, want at most a tenth", c.rejected.Load())
	}
	r.stopNode(node)
}
