package compare

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sizeHeader is the name of the request header with the requested size of the response body in bytes.
const sizeHeader = "X-Size"

// serveSize responds with a body of the size in the request header sizeHeader.
func serveSize(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.Header.Get(sizeHeader))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for size > 0 {
		n, err := w.Write(bodyBlock[:min(size, len(bodyBlock))])
		size -= n
		if err != nil {
			return
		}
	}
}

// bodyBlock is the block of bytes that response bodies repeat.
var bodyBlock = make([]byte, copyBuffer)

// load describes a load on a proxy.
type load struct {
	size     int // size of each response body in bytes
	clients  int // number of concurrent clients; each sends one request after another
	requests int // total number of requests of all clients
}

// run sends the load to the proxy at an address. It returns the responses per second and the 99th percentile of the
// latency. A failed request fails the test.
func (l load) run(tb testing.TB, s *setup, addr string) (perSecond float64, p99 time.Duration) {
	transport := s.newTransport()
	defer transport.CloseIdleConnections()
	var remaining atomic.Int64
	remaining.Store(int64(l.requests))
	timesOfClients := make([][]time.Duration, l.clients)
	var running sync.WaitGroup
	began := time.Now()
	for i := range l.clients {
		running.Go(func() {
			for remaining.Add(-1) >= 0 {
				sent := time.Now()
				if err := get(transport, s.scheme()+"://"+addr+"/x", l.size); err != nil {
					tb.Error(err)
					return
				}
				timesOfClients[i] = append(timesOfClients[i], time.Since(sent))
			}
		})
	}
	running.Wait()
	times := slices.Concat(timesOfClients...)
	slices.Sort(times)
	if len(times) == 0 {
		return 0, 0
	}
	return float64(len(times)) / time.Since(began).Seconds(), times[len(times)*99/100]
}

// get requests a body of the given size in bytes and checks the status and the size of the response.
func get(transport *http.Transport, target string, size int) error {
	r, err := http.NewRequest(http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	r.Header.Set(sizeHeader, strconv.Itoa(size))
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	received, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || received != int64(size) {
		return fmt.Errorf("got status %d, a body of %d bytes and error %v, want status 200 and a body of the requested size",
			resp.StatusCode, received, err)
	}
	return nil
}
