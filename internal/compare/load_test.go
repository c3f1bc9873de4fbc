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

// sizeHeader names the header with the size of the response's body that a request asks for, in bytes.
const sizeHeader = "X-Size"

// serveSize responds with a body of the size that the request asks for.
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

// bodyBlock is what bodies consist of.
var bodyBlock = make([]byte, copyBuffer)

// load is a load on a proxy.
type load struct {
	size     int // of responses' bodies, in bytes
	clients  int // that send one request after another
	requests int // of all clients together
}

// run puts the load on the proxy at an address, and returns responses a second and the 99th percentile of their times.
// A failed request fails the test.
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

// get requests a body of a size and checks the response.
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
		return fmt.Errorf("status %d, %d bytes, %v", resp.StatusCode, received, err)
	}
	return nil
}
