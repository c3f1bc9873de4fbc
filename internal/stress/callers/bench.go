package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
)

// Bench compares the processor in pick with one that answers CONTINUE at once, on the same library:
// each in a process of its own, driven in turns from this one. Costs are the processes' own CPU.
func Bench(ctx context.Context, out io.Writer, exchanges, rounds int) error {
	var sides [2]*side
	for i, kind := range []string{"pick", "empty"} {
		s, err := startSide(kind)
		if err != nil {
			return err
		}
		defer s.end()
		sides[i] = s
	}
	fmt.Fprintf(out, "%-8s %28s %28s %22s\n", "streams", "CPU us an exchange, ratio", "exchanges/s, ratio", "p50 and p99, ratio")
	for _, streams := range []int{1, 64, 1000} {
		var cpu, rate, p50, p99, own []float64
		for round := range rounds + 1 {
			var m [2]measure
			for i := range sides { // who goes first changes
				at := (i + round) % 2
				var err error
				if m[at], err = sides[at].drive(ctx, streams, exchanges); err != nil {
					return err
				}
			}
			if round == 0 {
				continue // warms up
			}
			cpu, rate = append(cpu, m[0].cpu/m[1].cpu), append(rate, m[0].rate/m[1].rate)
			p50, p99 = append(p50, m[0].p50/m[1].p50), append(p99, m[0].p99/m[1].p99)
			own = append(own, m[0].cpu)
		}
		fmt.Fprintf(out, "%-8d %12.0f %15s %28s %11s %10s\n", streams, middle(own), spread(cpu), spread(rate), spread(p50), spread(p99))
	}
	kb, err := sides[0].memory()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "resident after %d exchanges: %d KB\n", 3*(rounds+1)*exchanges, kb)
	const more = 10
	for range more {
		if _, err := sides[0].drive(ctx, 64, exchanges); err != nil {
			return err
		}
	}
	if kb, err = sides[0].memory(); err != nil {
		return err
	}
	fmt.Fprintf(out, "and after %d more: %d KB\n", more*exchanges, kb)
	return sides[0].silent(ctx, out, 10_000)
}

// silent opens streams that say nothing, tells what each costs, and what those over the bound get.
func (s *side) silent(ctx context.Context, out io.Writer, n int) error {
	before, err := s.memory()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := pb.NewExternalProcessorClient(s.conn)
	var open []grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]
	for range n {
		stream, err := client.Process(ctx)
		if err != nil {
			return err
		}
		open = append(open, stream)
	}
	if err := s.ping(ctx); err != nil { // has been answered behind them
		return err
	}
	kb, err := s.memory()
	if err != nil {
		return err
	}
	codesOf := map[codes.Code]int{}
	for _, stream := range open {
		_, err := stream.Recv()
		codesOf[status.Code(err)]++
	}
	fmt.Fprintf(out, "%d streams that say nothing, at %.1f KB for each that is let in: %v\n", n, float64(kb-before)/sideStreams, codesOf)
	if codesOf[codes.DeadlineExceeded] != sideStreams || codesOf[codes.ResourceExhausted] != n-sideStreams {
		return fmt.Errorf("%d should be let in, and ended for their silence", sideStreams)
	}
	_, err = s.drive(ctx, 64, 1000)
	fmt.Fprintln(out, "usual exchanges go on")
	return err
}

// ping is answered by the server's health, whatever its streams do.
func (s *side) ping(ctx context.Context) error {
	_, err := healthpb.NewHealthClient(s.conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

// sideStreams is the bound on streams of Bench's processor.
const sideStreams = 4096

func middle(list []float64) float64 {
	list = slices.Sorted(slices.Values(list))
	return list[len(list)/2]
}

func spread(list []float64) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", middle(list), slices.Min(list), slices.Max(list))
}

type measure struct{ cpu, rate, p50, p99 float64 }

// side is a process with a processor.
type side struct {
	cmd  *exec.Cmd
	in   io.Closer
	conn *grpc.ClientConn
}

func startSide(kind string) (*side, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &side{cmd: exec.Command(self, "side", kind)}
	s.cmd.Stderr = os.Stderr
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	text, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	addr, err := bufio.NewReader(text).ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	s.conn, err = grpc.NewClient(strings.TrimSpace(addr), grpc.WithTransportCredentials(insecure.NewCredentials()))
	return s, err
}

func (s *side) end() {
	s.conn.Close()
	s.in.Close()
	s.cmd.Wait()
}

// ticks is the CPU time that a process has had (proc(5), stat), in hundredths of a second.
func (s *side) ticks() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return user + system, err
}

// memory is what a process has resident, in KB.
func (s *side) memory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	return strconv.Atoi(strings.Fields(rest)[0])
}

// drive has so many exchanges made, by so many callers at once.
func (s *side) drive(ctx context.Context, streams, exchanges int) (m measure, err error) {
	client := pb.NewExternalProcessorClient(s.conn)
	before, err := s.ticks()
	if err != nil {
		return m, err
	}
	var next atomic.Int64
	var run sync.WaitGroup
	times := make([]float64, exchanges)
	failed := make(chan error, streams)
	began := time.Now()
	for range streams {
		run.Go(func() {
			for {
				n := next.Add(1)
				if n > int64(exchanges) {
					return
				}
				at := time.Now()
				if err := exchangeOnce(ctx, client, n); err != nil {
					failed <- err
					return
				}
				times[n-1] = time.Since(at).Seconds()
			}
		})
	}
	run.Wait()
	took := time.Since(began).Seconds()
	select {
	case err := <-failed:
		return m, err
	default:
	}
	after, err := s.ticks()
	slices.Sort(times)
	return measure{
		cpu: (after - before) * 1e4 / float64(exchanges), rate: float64(exchanges) / took,
		p50: times[len(times)/2], p99: times[len(times)*99/100],
	}, err
}

// exchangeOnce asks, and tells of a response.
func exchangeOnce(ctx context.Context, client pb.ExternalProcessorClient, n int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Process(ctx)
	if err != nil {
		return err
	}
	value := func(key, text string) *corev3.HeaderValue {
		return &corev3.HeaderValue{Key: key, RawValue: []byte(text)}
	}
	for _, m := range []*pb.ProcessingRequest{
		{Request: &pb.ProcessingRequest_RequestHeaders{RequestHeaders: &pb.HttpHeaders{EndOfStream: true, Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
			value(":method", "GET"), value(":path", "/pick/hotels/7/rooms?nights=2"), value(":authority", "rates.example.org"), value(":scheme", "https"),
			value("user-agent", "bench"), value("accept", "application/json"), value("x-request-id", strconv.FormatInt(n, 10)),
		}}}}},
		{Request: &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: &pb.HttpHeaders{EndOfStream: true, Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
			value(":status", "200"), value("content-type", "application/json"),
		}}}}},
	} {
		if err := stream.Send(m); err != nil {
			return err
		}
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		if r.GetImmediateResponse() != nil {
			return fmt.Errorf("refused: %v", r)
		}
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != io.EOF {
		return fmt.Errorf("the end: %w", err)
	}
	return nil
}

// Side is a process of Bench's: it prints its address and ends with its input.
func Side(kind string) error {
	runtime.GOMAXPROCS(1) // decisions for a core
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if kind == "empty" {
		srv := grpc.NewServer(grpc.MaxConcurrentStreams(5000))
		pb.RegisterExternalProcessorServer(srv, empty{})
		go srv.Serve(l)
		defer srv.Stop()
	} else {
		p, err := config.ParseProgram("bench.toml", []byte(strings.Replace(Program, `report = "200ms"`, fmt.Sprintf("streams = %d\nstreams_per_connection = 20000\nfirst_message = \"10s\"", sideStreams), 1)))
		if err != nil {
			return err
		}
		c := &cluster.Config{Name: "rooms", ShrinkTo: cluster.ShrinkUnspecified}
		for i := range 10 {
			c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprint(i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Weight: 1})
		}
		a, err := app.New(&files.Snapshot{Program: p, Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}}},
			app.Options{Seed: 1, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return err
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go a.ServeProcessor(ctx, l, a.NewProcessor(p.ExtProc), p.ExtProc)
	}
	fmt.Println(l.Addr())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// empty answers CONTINUE at once.
type empty struct {
	pb.UnimplementedExternalProcessorServer
}

// Process implements the service.
func (empty) Process(stream grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]) error {
	for {
		m, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		r := &pb.ProcessingResponse{Response: &pb.ProcessingResponse_RequestHeaders{RequestHeaders: &pb.HeadersResponse{}}}
		if m.GetResponseHeaders() != nil {
			r.Response = &pb.ProcessingResponse_ResponseHeaders{ResponseHeaders: &pb.HeadersResponse{}}
		}
		if err := stream.Send(r); err != nil {
			return err
		}
	}
}
