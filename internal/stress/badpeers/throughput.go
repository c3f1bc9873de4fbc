package badpeers

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"yokestall/internal/fake/webpeer"
)

const (
	// maxThroughputMemory is the maximum memory in bytes that the process may use, including clients and servers.
	// The limit does not depend on the number of bytes transferred.
	maxThroughputMemory = 20 << 20

	// throughputRequest is the maximum size of a request body in bytes.
	throughputRequest = 256 << 20

	// memoryInterval is the number of received bytes between two samples of the memory.
	memoryInterval = 16 << 20

	// slowClients is the number of clients that only read slowly, and also of those that both send and read slowly.
	slowClients = 4

	// slowInterval is the time between two bytes that a slow client reads or sends.
	slowInterval = 10 * time.Millisecond
)

// throughput transfers data in both directions at once, over each protocol, while other clients read slowly or both
// send and read slowly.
func (r *rig) throughput(ctx context.Context) (string, error) {
	peak := int64(0)
	collectGarbage()
	for _, protocol := range webpeer.AllProtocols() {
		used, err := r.throughputOver(ctx, protocol)
		if err != nil {
			return "", err
		}
		peak = max(peak, used)
	}
	if peak > maxThroughputMemory {
		r.report("process used %d bytes of memory, limit %d", peak, maxThroughputMemory)
	}
	return fmt.Sprintf("%d MB each way over each of %d protocols, at most %d MB of memory used, including clients and servers",
		r.Megabytes, len(webpeer.AllProtocols()), peak>>20), nil
}

// throughputOver runs the scenario over one protocol and returns the peak memory in bytes.
func (r *rig) throughputOver(ctx context.Context, protocol webpeer.Protocol) (peak int64, err error) {
	d, err := r.deploy(protocol, protocol)
	if err != nil {
		return 0, err
	}
	defer d.close()
	var slow sync.WaitGroup
	defer slow.Wait()
	slowCtx, stopSlow := context.WithCancel(ctx)
	defer stopSlow()
	for range slowClients {
		if err := d.startSlowReader(slowCtx, &slow); err != nil {
			return 0, err
		}
	}
	for range slowClients {
		slow.Go(func() { d.echoSlowly(slowCtx) })
	}
	for left := r.Megabytes << 20; left > 0; left -= throughputRequest {
		n := min(left, throughputRequest)
		resp, err := d.send(ctx, "/x", "echo", io.NopCloser(io.LimitReader(zeros{}, n)))
		if err != nil {
			r.report("%v: echo request failed: %v", protocol, err)
			break
		}
		received, used, err := readSampling(resp.Body)
		peak = max(peak, used)
		resp.Body.Close()
		if err != io.EOF || received != n {
			r.report("%v: received %d of %d bytes of the echo: %v", protocol, received, n, err)
		}
	}
	return peak, nil
}

// readSampling reads a body to its end and samples the memory meanwhile. It returns the number of bytes read, the
// largest memory sample and the error that ended the body, which is io.EOF if the body is complete.
func readSampling(body io.Reader) (received, peak int64, err error) {
	buffer := make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = body.Read(buffer)
		before := received
		received += int64(n)
		if before/memoryInterval != received/memoryInterval {
			peak = max(peak, liveMemory())
		}
	}
	return received, peak, err
}

// startSlowReader sends a request and reads its answer byte by byte until ctx ends.
func (d *deployment) startSlowReader(ctx context.Context, clients *sync.WaitGroup) error {
	resp, err := d.send(ctx, "/x", "unknown 500000", nil)
	if err != nil {
		return err
	}
	clients.Go(func() {
		defer resp.Body.Close()
		one := make([]byte, 1)
		for ; ctx.Err() == nil; time.Sleep(slowInterval) {
			if _, err := resp.Body.Read(one); err != nil {
				return
			}
		}
	})
	return nil
}

// echoSlowly sends a body byte by byte until ctx ends, and reads what the server returns.
func (d *deployment) echoSlowly(ctx context.Context) {
	resp, err := d.send(ctx, "/x", "echo", io.NopCloser(slowBody{ctx}))
	if err != nil {
		return // The request failed, for example because ctx ended before the first byte of the answer.
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
}

// slowBody is a request body that yields a byte every slowInterval until its context ends.
type slowBody struct{ ctx context.Context }

// Read implements io.Reader.
func (b slowBody) Read(p []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, io.EOF
	case <-time.After(slowInterval):
		p[0] = 'x'
		return 1, nil
	}
}

// zeros is an endless request body of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// collectGarbage runs the garbage collector twice. The second run frees what earlier scenarios left in sync.Pools.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}
