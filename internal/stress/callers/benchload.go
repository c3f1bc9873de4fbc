package callers

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// figures are the measurements of one round of load on a process.
type figures struct {
	cpu      float64 // CPU time of the process for each exchange in microseconds
	rate     float64 // exchanges per second
	p50, p99 float64 // percentiles of the latency of an exchange in seconds
}

// drive runs the given number of exchanges with the given number of concurrent streams and returns measurements.
func (p *process) drive(ctx context.Context, streams, exchanges int) (figures, error) {
	before, err := p.cpuTicks()
	if err != nil {
		return figures{}, err
	}
	start := time.Now()
	latencies, err := p.exchangeAll(ctx, streams, exchanges)
	took := time.Since(start).Seconds()
	if err != nil {
		return figures{}, err
	}
	after, err := p.cpuTicks()
	slices.Sort(latencies)
	return figures{
		cpu:  (after - before) * microsecondsPerTick / float64(exchanges),
		rate: float64(exchanges) / took,
		p50:  latencies[len(latencies)/2],
		p99:  latencies[len(latencies)*99/100],
	}, err
}

// exchangeAll runs the given number of exchanges with the given number of concurrent streams and returns their latencies
// in seconds. A goroutine whose exchange fails starts no further exchanges. The error is one of these failures.
func (p *process) exchangeAll(ctx context.Context, streams, exchanges int) ([]float64, error) {
	client := pb.NewExternalProcessorClient(p.conn)
	latencies := make([]float64, exchanges)
	failed := make(chan error, streams)
	var started atomic.Int64
	var callers sync.WaitGroup
	for range streams {
		callers.Go(func() {
			for {
				n := started.Add(1)
				if n > int64(exchanges) {
					return
				}
				start := time.Now()
				if err := exchange(ctx, client, n); err != nil {
					failed <- err
					return
				}
				latencies[n-1] = time.Since(start).Seconds()
			}
		})
	}
	callers.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return latencies, nil
	}
}
