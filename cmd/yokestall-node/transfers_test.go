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
	slowRate  = flag.Int("slow", 1024, "kB a second of a slow one")
)

func sumOf(n, size int) string {
	h := sha256.New()
	io.Copy(h, &testutil.Pattern{Number: n, Size: size})
	return hex.EncodeToString(h.Sum(nil))
}

// Concurrent long responses and bodies, half of them slow at either side, are transferred unchanged, beside some
// whose client disconnects and some whose server fails; the node's memory stays within its limit.
func TestTransfers(t *testing.T) {
	size := *megabytes << 20
	l := testutil.Listen(t)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		n, _ := strconv.Atoi(q.Get("n"))
		rate, _ := strconv.Atoi(q.Get("rate"))
		if r.Method == http.MethodPost {
			h := sha256.New()
			if _, err := io.Copy(h, &testutil.SlowReader{Reader: r.Body, Rate: rate}); err != nil {
				return
			}
			io.WriteString(w, hex.EncodeToString(h.Sum(nil)))
			return
		}
		if n%2 == 0 {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		from := &testutil.SlowReader{Reader: &testutil.Pattern{Number: n, Size: size}, Rate: rate}
		if q.Has("quarter") {
			quarter, _ := strconv.Atoi(q.Get("quarter"))
			io.CopyN(w, from, int64(quarter*size/4))
			panic(http.ErrAbortHandler)
		}
		io.Copy(w, from)
	})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	p := newRig(t, true, 0, discovery.Instance{
		InstanceID: "s-0", HostPort: l.Addr().String(), Lifecycle: "Ready", Zone: "a", Weight: 1,
	})
	node := p.node()
	idle := node.PeakMB()

	var all sync.WaitGroup
	var moved, refused atomic.Int64
	// ask makes a request, with a body if it is an upload, at a rate in bytes per second.
	ask := func(n int, target string, upload bool, rate int) (*http.Response, net.Conn, error) {
		nc, err := net.Dial("tcp", p.Addr)
		if err != nil {
			return nil, nil, err
		}
		nc.SetDeadline(time.Now().Add(10 * testutil.WaitTimeout))
		start, body := "GET /read", ""
		if upload {
			start, body = "POST /pay", "Content-Length: "+strconv.Itoa(size)+"\r\n"
		}
		fmt.Fprintf(nc, "%s?%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: t%d\r\nX-Timeout-Ms: 10000\r\n%s\r\n", start, target, n, body)
		if upload {
			content := &testutil.SlowReader{Reader: &testutil.Pattern{Number: n, Size: size}, Rate: rate}
			if _, err := io.Copy(nc, content); err != nil {
				nc.Close()
				return nil, nil, err
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		return resp, nc, err
	}
	for n := range *transfers {
		time.Sleep(5 * time.Millisecond) // all are in flight together, but do not arrive at one instant
		all.Go(func() {
			upload, target, rate := n%4 >= 2, "n="+strconv.Itoa(n), 0
			if n%2 == 1 && n%8 < 4 {
				rate = *slowRate << 10
			} else if n%2 == 1 {
				target += "&rate=" + strconv.Itoa(*slowRate<<10) // the server is slow
			}
			resp, nc, err := ask(n, target, upload, rate)
			if err != nil {
				t.Errorf("transfer %d (%s): %v", n, target, err)
				return
			}
			defer nc.Close()
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused.Add(1)
				return
			}
			h := sha256.New()
			body := io.Reader(&testutil.SlowReader{Reader: resp.Body, Rate: rate})
			text := ""
			if upload {
				all, _ := io.ReadAll(body)
				text = string(all)
			} else {
				_, err = io.Copy(h, body)
				text = hex.EncodeToString(h.Sum(nil))
			}
			if err != nil || resp.StatusCode != 200 || text != sumOf(n, size) {
				t.Errorf("transfer %d (%s): status %d, %v, sum %.70s", n, target, resp.StatusCode, err, text)
			}
			moved.Add(int64(size))
		})
	}
	for n := 1; n < 4; n++ { // servers that fail at each quarter, clients that disconnect
		all.Go(func() {
			resp, nc, err := ask(1000+n, fmt.Sprintf("n=%d&quarter=%d", n, n), false, 0)
			if err != nil {
				t.Errorf("a transfer that breaks: %v", err)
				return
			}
			defer nc.Close()
			if got, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("%d bytes are taken for the whole", got)
			}
			if resp, nc, err := ask(2000+n, "n="+strconv.Itoa(n), false, 0); err == nil {
				io.CopyN(io.Discard, resp.Body, int64(n*size/4))
				nc.Close()
			}
		})
	}
	all.Wait()
	peak := node.PeakMB()
	t.Logf("%d transfers of %d MB: %d MB moved, %d refused, peak of the node %.0f MB of %d, %.0f MB before",
		*transfers, *megabytes, moved.Load()>>20, refused.Load(), peak, memoryMB, idle)
	if !raceEnabled && peak > memoryMB {
		t.Errorf("the node had %.0f MB, %d are its limit", peak, memoryMB)
	}
	if refused.Load() > int64(*transfers/10) {
		t.Errorf("%d were refused", refused.Load())
	}
	p.stop(node)
}
