package callers

import (
	"context"
	"fmt"
	"io"
	"slices"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// growthRounds is the number of additional rounds that show whether memory grows with the number of exchanges.
	growthRounds = 10

	// growthStreams is the number of concurrent streams in the additional rounds and in the round after the idle
	// streams.
	growthStreams = 64

	// idleStreams is the number of streams that never send a message. It is larger than maxBenchStreams.
	idleStreams = 10_000

	// exchangesAfterIdle is the number of exchanges, after the idle streams, that check that the processor still
	// serves requests.
	exchangesAfterIdle = 1000
)

// concurrencies are the numbers of concurrent streams for which the processors are compared.
var concurrencies = []int{1, 64, 1000}

// Bench compares the external processor in pick mode with an empty processor that answers CONTINUE immediately. Both use
// the same gRPC library, and each runs in a child process of its own. This process sends load to them in turn. The CPU
// time is that of the child processes alone. An additional first round is a warm-up that is not measured.
func Bench(ctx context.Context, out io.Writer, exchanges, rounds int) error {
	pick, err := startProcess(processorPick)
	if err != nil {
		return err
	}
	defer pick.stop()
	empty, err := startProcess(processorEmpty)
	if err != nil {
		return err
	}
	defer empty.stop()
	fmt.Fprintf(out, "%-8s %28s %28s %22s\n",
		"streams", "CPU us an exchange, ratio", "exchanges/s, ratio", "p50 and p99, ratio")
	for _, streams := range concurrencies {
		comparison, err := compare(ctx, pick, empty, streams, exchanges, rounds)
		if err != nil {
			return err
		}
		comparison.print(out, streams)
	}
	done := len(concurrencies) * (rounds + 1) * exchanges
	if err := measureGrowth(ctx, out, pick, done, exchanges); err != nil {
		return err
	}
	return measureIdleStreams(ctx, out, pick)
}

// comparison holds the measurements of the rounds with one number of streams. For each round, it has the CPU time of an
// exchange in microseconds, and the ratios of the figures of the pick processor to those of the empty processor.
type comparison struct {
	cpu                                     []float64
	cpuRatio, rateRatio, p50Ratio, p99Ratio []float64
}

// compare sends load to both processes for one warm-up round and the given number of rounds. The process that comes
// first alternates from round to round.
func compare(ctx context.Context, pick, empty *process, streams, exchanges, rounds int) (c comparison, err error) {
	processes := [2]*process{pick, empty}
	for round := range rounds + 1 {
		var figures [2]figures
		for i := range processes {
			at := (i + round) % 2
			if figures[at], err = processes[at].drive(ctx, streams, exchanges); err != nil {
				return c, err
			}
		}
		if round > 0 { // round 0 is the warm-up
			c.add(figures[0], figures[1])
		}
	}
	return c, nil
}

// add adds the figures of a round.
func (c *comparison) add(pick, empty figures) {
	c.cpu = append(c.cpu, pick.cpu)
	c.cpuRatio = append(c.cpuRatio, pick.cpu/empty.cpu)
	c.rateRatio = append(c.rateRatio, pick.rate/empty.rate)
	c.p50Ratio = append(c.p50Ratio, pick.p50/empty.p50)
	c.p99Ratio = append(c.p99Ratio, pick.p99/empty.p99)
}

// print writes the comparison for the given number of streams as a line of the table.
func (c *comparison) print(out io.Writer, streams int) {
	fmt.Fprintf(out, "%-8d %12.0f %15s %28s %11s %10s\n",
		streams, median(c.cpu), spread(c.cpuRatio), spread(c.rateRatio), spread(c.p50Ratio), spread(c.p99Ratio))
}

// measureGrowth prints the resident memory of the process before and after growthRounds additional rounds. done is the
// number of exchanges that the process has already handled.
func measureGrowth(ctx context.Context, out io.Writer, p *process, done, exchanges int) error {
	kb, err := p.memoryKB()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "resident memory after %d exchanges: %d KB\n", done, kb)
	for range growthRounds {
		if _, err := p.drive(ctx, growthStreams, exchanges); err != nil {
			return err
		}
	}
	if kb, err = p.memoryKB(); err != nil {
		return err
	}
	fmt.Fprintf(out, "resident memory after %d more exchanges: %d KB\n", growthRounds*exchanges, kb)
	return nil
}

// measureIdleStreams opens idleStreams streams that never send a message. It prints the memory for each admitted stream
// and the status codes with which the streams end. It checks that maxBenchStreams streams time out and that the others
// are rejected.
func measureIdleStreams(ctx context.Context, out io.Writer, p *process) error {
	before, err := p.memoryKB()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streams, err := p.openStreams(ctx, idleStreams)
	if err != nil {
		return err
	}
	if err := p.checkHealth(ctx); err != nil { // answered only after the streams were accepted
		return err
	}
	after, err := p.memoryKB()
	if err != nil {
		return err
	}
	ends := map[codes.Code]int{}
	for _, stream := range streams {
		_, err := stream.Recv()
		ends[status.Code(err)]++
	}
	fmt.Fprintf(out, "%d idle streams, %.1f KB for each admitted stream, ended with: %v\n",
		idleStreams, float64(after-before)/maxBenchStreams, ends)
	if ends[codes.DeadlineExceeded] != maxBenchStreams || ends[codes.ResourceExhausted] != idleStreams-maxBenchStreams {
		return fmt.Errorf("want %d streams to end with DeadlineExceeded and all others with ResourceExhausted", maxBenchStreams)
	}
	_, err = p.drive(ctx, growthStreams, exchangesAfterIdle)
	fmt.Fprintln(out, "exchanges after the idle streams done")
	return err
}

// openStreams opens n streams without sending a message.
func (p *process) openStreams(ctx context.Context, n int) ([]exchangeStream, error) {
	client := pb.NewExternalProcessorClient(p.conn)
	var streams []exchangeStream
	for range n {
		stream, err := client.Process(ctx)
		if err != nil {
			return nil, err
		}
		streams = append(streams, stream)
	}
	return streams, nil
}

// exchangeStream is the client end of a stream.
type exchangeStream = grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]

// median returns the median of values, or the larger of the two middle values if their number is even.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// spread formats the median, the minimum and the maximum of values.
func spread(values []float64) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", median(values), slices.Min(values), slices.Max(values))
}
