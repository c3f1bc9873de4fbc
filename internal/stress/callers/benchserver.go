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
	processorPick  = "pick"  // the load balancer's, which picks endpoints
	processorEmpty = "empty" // one that answers CONTINUE at once
)

const (
	// maxBenchStreams is the limit on open streams of the pick processor.
	maxBenchStreams = 4096

	// maxEmptyStreams is the limit on streams of a connection to the empty processor.
	maxEmptyStreams = 5000

	// benchEndpoints is how many endpoints the pick processor picks from.
	benchEndpoints = 10
)

// ServeBench runs a process of Bench with a kind of processor. It prints its address and ends with its standard input.
func ServeBench(kind string) error {
	runtime.GOMAXPROCS(1) // the figures are for one core
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
		address := fmt.Sprintf("127.0.0.1:%d", i+1) // nothing is sent there
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

// emptyProcessor answers CONTINUE at once.
type emptyProcessor struct {
	pb.UnimplementedExternalProcessorServer
}

// Process implements the service.
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
