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
	// growthRounds is how many more rounds show whether memory grows with the number of exchanges.
	growthRounds = 10

	// growthStreams is how many streams are open at once in those rounds, and after the idle streams.
	growthStreams = 64

	// idleStreams is how many streams are opened that never send a message, more than maxBenchStreams.
	idleStreams = 10_000

	// exchangesAfterIdle is how many exchanges check that the processor still serves others.
	exchangesAfterIdle = 1000
)

// concurrencies are the numbers of streams at once that are compared.
var concurrencies = []int{1, 64, 1000}

// Bench compares the processor in pick mode with one that answers CONTINUE at once, on the same gRPC library. Each is
// in a process of its own, driven from this one by turns. CPU time is that of these processes alone. One more round
// than the given ones warms up.
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

// comparison is what the rounds with one number of streams measured: of each round the CPU time of an exchange in
// microseconds, and the ratios of the processor's figures to the empty processor's.
type comparison struct {
	cpu                                     []float64
	cpuRatio, rateRatio, p50Ratio, p99Ratio []float64
}

// compare drives both processes for some rounds, which start with each of them by turns.
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
		if round > 0 { // the first one warms up
			c.add(figures[0], figures[1])
		}
	}
	return c, nil
}

// add adds a round.
func (c *comparison) add(pick, empty figures) {
	c.cpu = append(c.cpu, pick.cpu)
	c.cpuRatio = append(c.cpuRatio, pick.cpu/empty.cpu)
	c.rateRatio = append(c.rateRatio, pick.rate/empty.rate)
	c.p50Ratio = append(c.p50Ratio, pick.p50/empty.p50)
	c.p99Ratio = append(c.p99Ratio, pick.p99/empty.p99)
}

// print writes a line of the table.
func (c *comparison) print(out io.Writer, streams int) {
	fmt.Fprintf(out, "%-8d %12.0f %15s %28s %11s %10s\n",
		streams, median(c.cpu), spread(c.cpuRatio), spread(c.rateRatio), spread(c.p50Ratio), spread(c.p99Ratio))
}

// measureGrowth prints the process's resident memory after the exchanges that were done and after growthRounds more
// rounds.
func measureGrowth(ctx context.Context, out io.Writer, p *process, done, exchanges int) error {
	kb, err := p.memoryKB()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "resident after %d exchanges: %d KB\n", done, kb)
	for range growthRounds {
		if _, err := p.drive(ctx, growthStreams, exchanges); err != nil {
			return err
		}
	}
	if kb, err = p.memoryKB(); err != nil {
		return err
	}
	fmt.Fprintf(out, "and after %d more: %d KB\n", growthRounds*exchanges, kb)
	return nil
}

// measureIdleStreams opens idleStreams streams that never send a message. It prints the memory that each takes
// and how they end, and checks that those beyond maxBenchStreams are rejected and the others time out.
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
	if err := p.checkHealth(ctx); err != nil { // is answered only after the streams were accepted
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
	fmt.Fprintf(out, "%d streams that say nothing, at %.1f KB for each that is let in: %v\n",
		idleStreams, float64(after-before)/maxBenchStreams, ends)
	if ends[codes.DeadlineExceeded] != maxBenchStreams || ends[codes.ResourceExhausted] != idleStreams-maxBenchStreams {
		return fmt.Errorf("%d should be let in, and ended for their silence", maxBenchStreams)
	}
	_, err = p.drive(ctx, growthStreams, exchangesAfterIdle)
	fmt.Fprintln(out, "usual exchanges go on")
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

// exchangeStream is a client's end of a stream.
type exchangeStream = grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]

// median returns the middle one of the sorted values, the upper one of two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// spread returns the median of values with the least and the largest one.
func spread(values []float64) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", median(values), slices.Min(values), slices.Max(values))
}
