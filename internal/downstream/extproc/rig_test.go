package extproc_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"yokestall/internal/app"
	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/downstream/extproc"
	"yokestall/internal/fake/appbox"
	"yokestall/internal/fake/proxy"
	"yokestall/internal/files"
	"yokestall/internal/stress/callers"
	"yokestall/internal/testutil"
	"yokestall/internal/tlskeys"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// callerStream is the caller's side of a processing stream.
type callerStream = grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]

// rig is a processor in front of endpoints, with a client connection to it.
type rig struct {
	t       testing.TB
	program *config.Program
	app     *app.App
	server  *extproc.Server
	conn    *grpc.ClientConn
	stop    context.CancelFunc
	ended   chan error // receives the result of ServeProcessor
}

// startProcessor runs a processor in front of endpoints with the settings callers.Program. changes are pairs of an old
// and a new text that are replaced in the settings.
func startProcessor(t testing.TB, addrs []string, changes ...string) *rig {
	return startProcessorWith(t, nil, insecure.NewCredentials(), addrs, changes...)
}

// startProcessorWith is startProcessor with a key store for the server and credentials for the connection to it.
func startProcessorWith(
	t testing.TB, keys *tlskeys.Store, creds credentials.TransportCredentials, addrs []string, changes ...string,
) *rig {
	t.Helper()
	p, err := config.ParseProgram("test.toml", []byte(strings.NewReplacer(changes...).Replace(callers.Program)))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, program: p, ended: make(chan error, 1)}
	if r.app, err = app.New(r.version(addrs), app.Options{Seed: 1, Log: testutil.Log(t), Keys: keys}); err != nil {
		t.Fatal(err)
	}
	l := testutil.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.server = stop, r.app.NewProcessor(p.ExtProc)
	go func() { r.ended <- r.app.ServeProcessor(ctx, l, r.server, p.ExtProc) }()
	if r.conn, err = grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(creds)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		if err := testutil.Wait(t, r.ended, "the processor's end"); err != nil {
			t.Error(err)
		}
		r.conn.Close()
		r.app.Close()
	})
	return r
}

// version returns a configuration with one cluster, which has the given endpoints.
func (r *rig) version(addrs []string) *files.Configuration {
	c := &cluster.Config{Name: "rooms", ShrinkTo: -1, AllowEmpty: len(addrs) == 0}
	for i, a := range addrs {
		c.Endpoints = append(c.Endpoints, cluster.Endpoint{ID: fmt.Sprint(i), Address: a, Weight: 1})
	}
	version := &cluster.Version{Clusters: map[string]*cluster.Config{c.Name: c}}
	return &files.Configuration{Program: r.program, Version: version}
}

// open opens a processing stream.
func (r *rig) open(ctx context.Context) callerStream {
	r.t.Helper()
	s, err := pb.NewExternalProcessorClient(r.conn).Process(ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// requestHeaders returns a request_headers message of a POST request; end sets its end_of_stream. fields are additional
// header fields, as pairs of name and value.
func requestHeaders(end bool, path string, fields ...string) *pb.ProcessingRequest {
	m := &corev3.HeaderMap{Headers: []*corev3.HeaderValue{
		{Key: ":method", RawValue: []byte("POST")},
		{Key: ":authority", Value: "a"},
		{Key: ":path", RawValue: []byte(path)},
		{Key: ":scheme", Value: "http"},
	}}
	for i := 0; i+1 < len(fields); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: fields[i], RawValue: []byte(fields[i+1])})
	}
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{
		RequestHeaders: &pb.HttpHeaders{Headers: m, EndOfStream: end},
	}}
}

// responseHeaders returns a response_headers message with the status code and end_of_stream.
func responseHeaders(code string) *pb.ProcessingRequest {
	status := &corev3.HeaderValue{Key: ":status", RawValue: []byte(code)}
	return &pb.ProcessingRequest{Request: &pb.ProcessingRequest_ResponseHeaders{ResponseHeaders: &pb.HttpHeaders{
		Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{status}}, EndOfStream: true,
	}}}
}

// namedEndpoint returns the endpoint that a reply names, "" if the reply names none.
func namedEndpoint(r *pb.ProcessingResponse) string {
	h := http.Header{}
	proxy.ApplyMutation(h, r.GetRequestHeaders().GetResponse().GetHeaderMutation())
	return h.Get(extproc.EndpointHeader)
}

// awaitIdle waits until no stream and no request is in flight.
func (r *rig) awaitIdle() {
	r.t.Helper()
	testutil.Until(r.t, "the end of all streams and requests", func() bool { return r.server.InFlight() == 0 })
}

// startBoxes starts n endpoints and returns them with their addresses.
func startBoxes(t testing.TB, n int) (list []*appbox.Server, addrs []string) {
	for i := range n {
		b := testutil.StartAppServer(t, fmt.Sprintf("box-%d", i))
		list, addrs = append(list, b), append(addrs, b.Addr())
	}
	return list, addrs
}
