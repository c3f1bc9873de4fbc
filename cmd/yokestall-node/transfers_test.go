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
	transfers = flag.Int("transfers", 24, "how many transfers TestTransfers makes at once")
	megabytes = flag.Int("megabytes", 2, "the size of each")
	slowRate  = flag.Int("slow", 1024, "rate of a slow one, in kB per second")
)

// transferHandler is an endpoint of transfers. Its query names the transfer (n) and may name the endpoint's rate in
// bytes per second (rate) and the quarter of the response after which it fails (quarter).
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

// receive answers with the checksum of a body.
func (h transferHandler) receive(w io.Writer, body io.Reader) {
	sum := sha256.New()
	if _, err := io.Copy(sum, body); err != nil {
		return
	}
	io.WriteString(w, hex.EncodeToString(sum.Sum(nil)))
}

// checksum returns the checksum of a transfer's body.
func checksum(n, size int) string {
	sum := sha256.New()
	io.Copy(sum, &testutil.Pattern{Number: n, Size: size})
	return hex.EncodeToString(sum.Sum(nil))
}

// transferTest is a client that makes transfers through a node.
type transferTest struct {
	*testing.T
	addr            string // of the node
	size            int    // of each transfer, in bytes
	moved, rejected atomic.Int64
}

// transfer is a response, or a body as an upload, that passes the node.
type transfer struct {
	number       int
	upload       bool
	clientRate   int // bytes per second; 0: as fast as it goes
	endpointRate int // bytes per second; 0: as fast as it goes
	failAfter    int // quarters of the response after which the endpoint fails; 0: it doesn't
}

// drawTransfer returns the transfer of a number: in each eight there are slow clients and slow endpoints, of responses
// and of uploads.
func drawTransfer(n int) transfer {
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

// query returns the transfer's query for transferHandler.
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

// begin sends a transfer's request under an ID, with its body if it is an upload, and reads the response's header.
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

// run makes a transfer and checks that its body is unchanged, unless the node rejects it.
func (c *transferTest) run(x transfer) {
	resp, conn, err := c.begin(x.number, x)
	if err != nil {
		c.Errorf("transfer %+v: %v", x, err)
		return
	}
	defer conn.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.rejected.Add(1)
		return
	}
	sum, err := readChecksum(&testutil.SlowReader{Reader: resp.Body, Rate: x.clientRate}, x.upload)
	if err != nil || resp.StatusCode != 200 || sum != checksum(x.number, c.size) {
		c.Errorf("transfer %+v: status %d, %v, checksum %.70s", x, resp.StatusCode, err, sum)
	}
	c.moved.Add(int64(c.size))
}

// readChecksum returns the checksum of a response's body, or the one that the response to an upload names.
func readChecksum(body io.Reader, upload bool) (string, error) {
	if upload {
		text, _ := io.ReadAll(body)
		return string(text), nil
	}
	sum := sha256.New()
	_, err := io.Copy(sum, body)
	return hex.EncodeToString(sum.Sum(nil)), err
}

// runBroken makes a transfer whose endpoint fails after some quarters of the response, and another one whose client
// disconnects after as many.
func (c *transferTest) runBroken(quarters int) {
	resp, conn, err := c.begin(1000+quarters, transfer{number: quarters, failAfter: quarters})
	if err != nil {
		c.Errorf("a transfer that breaks: %v", err)
		return
	}
	defer conn.Close()
	if got, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		c.Errorf("%d bytes pass for the complete response", got)
	}
	if resp, conn, err := c.begin(2000+quarters, transfer{number: quarters}); err == nil {
		io.CopyN(io.Discard, resp.Body, int64(quarters*c.size/4))
		conn.Close()
	}
}

// TestTransfers checks that concurrent long responses and uploads, half of them slow at either side, are transferred
// unchanged, beside some whose client disconnects and some whose endpoint fails, and that the node's memory stays
// within its limit.
func TestTransfers(t *testing.T) {
	c := &transferTest{T: t, size: *megabytes << 20}
	l := testutil.Listen(t)
	srv := &http.Server{Handler: transferHandler{c.size}}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	p := newRig(t, true, 0, discovery.Instance{
		InstanceID: "s-0", HostPort: l.Addr().String(), Lifecycle: "Ready", Zone: "a", Weight: 1,
	})
	node := p.node()
	c.addr = p.Addr
	idle := node.PeakMB()

	var all sync.WaitGroup
	for n := range *transfers {
		time.Sleep(5 * time.Millisecond) // all are in flight together, but do not arrive at one instant
		all.Go(func() { c.run(drawTransfer(n)) })
	}
	for quarters := 1; quarters < 4; quarters++ {
		all.Go(func() { c.runBroken(quarters) })
	}
	all.Wait()
	peak := node.PeakMB()
	t.Logf("%d transfers of %d MB: %d MB moved, %d rejected, peak of the node %.0f MB of %d, %.0f MB before",
		*transfers, *megabytes, c.moved.Load()>>20, c.rejected.Load(), peak, memoryMB, idle)
	if !raceEnabled && peak > memoryMB {
		t.Errorf("the node had %.0f MB, %d are its limit", peak, memoryMB)
	}
	if c.rejected.Load() > int64(*transfers/10) {
		t.Errorf("%d were rejected", c.rejected.Load())
	}
	p.stop(node)
}
