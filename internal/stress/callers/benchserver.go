package callers

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strings"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
)

// Kinds of processors that Bench compares.
const (
	processorPick  = "pick"  // external processor of the load balancer in pick mode
	processorEmpty = "empty" // processor that answers CONTINUE immediately
)

const (
	// maxBenchStreams is the maximum number of open streams of the pick processor.
	maxBenchStreams = 4096

	// maxEmptyStreams is the maximum number of concurrent streams of a connection to the empty processor.
	maxEmptyStreams = 5000

	// benchEndpoints is the number of endpoints from which the pick processor picks.
	benchEndpoints = 10
)

// ServeBench runs the given kind of processor in a child process of Bench. It prints the address of the processor and
// returns when the standard input is closed.
func ServeBench(kind string) error {
	runtime.GOMAXPROCS(1) // measures the processor on a single core
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if kind == processorEmpty {
		server := grpc.NewServer(grpc.MaxConcurrentStreams(maxEmptyStreams))
		pb.RegisterExternalProcessorServer(server, emptyProcessor{})
		go server.Serve(listener)
		defer server.Stop()
	} else {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		if err := servePick(ctx, listener); err != nil {
			return err
		}
	}
	fmt.Println(listener.Addr())
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// servePick starts the pick processor, which runs until ctx ends.
func servePick(ctx context.Context, listener net.Listener) error {
	limits := fmt.Sprintf("streams = %d\nstreams_per_connection = 20000\nfirst_message = \"10s\"", maxBenchStreams)
	text := strings.Replace(Program, `report = "200ms"`, limits, 1)
	program, err := config.ParseProgram("bench.toml", []byte(text))
	if err != nil {
		return err
	}
	c := &cluster.Config{Name: "rooms", ShrinkTo: cluster.ShrinkUnspecified}
	for i := range benchEndpoints {
		address := fmt.Sprintf("127.0.0.1:%d", i+1) // never dialed: no request is sent to the endpoints
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprint(i), Address: address, Weight: 1})
	}
	snapshot := &files.Configuration{
		Program: program,
		Version: &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}},
	}
	a, err := app.New(snapshot, app.Options{Seed: 1, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	go a.ServeProcessor(ctx, listener, a.NewProcessor(program.ExtProc), program.ExtProc)
	return nil
}

// emptyProcessor is an external processor that answers CONTINUE immediately.
type emptyProcessor struct {
	pb.UnimplementedExternalProcessorServer
}

// Process implements pb.ExternalProcessorServer.
func (emptyProcessor) Process(stream grpc.BidiStreamingServer[pb.ProcessingRequest, pb.ProcessingResponse]) error {
	for {
		message, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		proceed := &pb.HeadersResponse{}
		answer := &pb.ProcessingResponse{
			Response: &pb.ProcessingResponse_RequestHeaders{RequestHeaders: proceed},
		}
		if message.GetResponseHeaders() != nil {
			answer.Response = &pb.ProcessingResponse_ResponseHeaders{ResponseHeaders: proceed}
		}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}
