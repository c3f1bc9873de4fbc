package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// slowClientLead is how long before SIGTERM the first slow clients connect. The last ones connect slowClientLastLead
	// before it.
	slowClientLead     = 350 * time.Millisecond
	slowClientLastLead = 50 * time.Millisecond
	// slowClientPieces is the number of pieces in which a slow client writes its head or its body.
	slowClientPieces = 16
	slowClientWait   = 10 * time.Second // for an answer
	// quickClientPause is the pause of other clients between two requests. A connection is idle for a while longer before it
	// is closed.
	quickClientPause = 5 * time.Millisecond
)

// slowClient is a client that connects before the program is told to end and writes its request slowly.
type slowClient struct {
	ending   *endingRun
	name     string
	exchange func(ctx context.Context) (status int, err error)
	slowHead bool          // else the body is slow
	wait     time.Duration // until it connects and writes the first byte
	pause    time.Duration // between two pieces; a head and a short body may take 2 s
}

// newSlowClient draws a client. Clients take turns over the protocols.
func (r *endingRun) newSlowClient(i int) *slowClient {
	c := &slowClient{
		ending: r, slowHead: r.random.IntN(2) == 0,
		wait:  time.Duration(r.random.Int64N(int64(slowClientLead - slowClientLastLead))),
		pause: time.Duration(75+r.random.IntN(40)) * time.Millisecond,
	}
	switch i % 4 {
	case 0:
		c.name, c.exchange = "HTTP/1.1", c.overHTTP1
	case 1:
		c.name, c.exchange = "HTTP/1.1 over TLS", c.overTLS
	case 2:
		c.name, c.exchange = "HTTP/2 over TLS", c.overHTTP2
	case 3:
		c.name, c.exchange = "external processor", c.overProcessor
	}
	if c.slowHead {
		c.name += ", slow head"
	}
	return c
}

// run sends the request and judges its answer.
func (c *slowClient) run() {
	time.Sleep(c.wait) // the drawn beginning
	ctx, cancel := context.WithTimeout(context.Background(), slowClientWait)
	defer cancel()
	status, err := c.exchange(ctx)
	if err != nil {
		c.ending.failf("%s: no answer: %v", c.name, err)
		return
	}
	c.ending.judge(c.name, status)
}

func (c *slowClient) tlsConfig() *tls.Config {
	return &tls.Config{ServerName: "a", RootCAs: c.ending.roots.Pool()}
}

func (c *slowClient) overHTTP1(context.Context) (status int, err error) {
	nc, err := net.Dial("tcp", c.ending.names["PLAIN"])
	if err != nil {
		return 0, err
	}
	return c.sendSlowly(nc)
}

func (c *slowClient) overTLS(context.Context) (status int, err error) {
	nc, err := tls.Dial("tcp", c.ending.names["TLS"], c.tlsConfig())
	if err != nil {
		return 0, err
	}
	return c.sendSlowly(nc)
}

// sendSlowly sends a request over HTTP/1.1 and returns the status of its answer. Unless the answer announces the close, it sends a
// further request at once.
func (c *slowClient) sendSlowly(nc net.Conn) (status int, err error) {
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(slowClientWait))
	c.writeSlowly(nc)
	in := bufio.NewReader(nc)
	status, closes, err := readStatus(in)
	if err != nil || closes {
		return status, err
	}
	io.WriteString(nc, quickRequest)
	if _, _, err := readStatus(in); err != nil {
		return 0, fmt.Errorf("behind an answer that does not announce the close: %w", err)
	}
	return status, nil
}

// quickRequest is a request that comes in one piece.
const quickRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

// readStatus reads an answer, and reports whether it announces the close of its connection.
func readStatus(in *bufio.Reader) (status int, closes bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

// sendQuickly sends one request after the other over HTTP/1.1, until an answer announces the close of the connection.
func (r *endingRun) sendQuickly() {
	nc, err := net.Dial("tcp", r.names["PLAIN"])
	if err != nil {
		r.failf("traffic: %v", err)
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(slowClientWait))
	in := bufio.NewReader(nc)
	for closes := false; !closes; {
		time.Sleep(quickClientPause)
		io.WriteString(nc, quickRequest)
		var status int
		if status, closes, err = readStatus(in); err != nil {
			r.failf("traffic: no answer: %v", err)
			return
		}
		r.judge("traffic", status)
	}
}

// writeSlowly writes a request in pieces. A failure shows when the answer is read.
func (c *slowClient) writeSlowly(w io.Writer) {
	io.WriteString(w, "POST / HTTP/1.1\r\nHost: a\r\nX-Timeout-Ms: 2900\r\n")
	if !c.slowHead {
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", slowClientPieces)
	}
	for i := range slowClientPieces {
		time.Sleep(c.pause)
		if c.slowHead {
			fmt.Fprintf(w, "X-Piece-%d: x\r\n", i)
		} else {
			io.WriteString(w, "x")
		}
	}
	if c.slowHead {
		io.WriteString(w, "Content-Length: 0\r\n\r\n")
	}
}

// slowBody is a body that comes in pieces.
type slowBody struct {
	pause time.Duration
	left  int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.left--
	p[0] = 'x'
	return 1, nil
}

// overHTTP2 sends a request with a slow body. A stream whose head is not complete when the connection is told to end is not
// taken, as its client learns from the GOAWAY.
func (c *slowClient) overHTTP2(ctx context.Context) (status int, err error) {
	transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: c.tlsConfig()}
	defer transport.CloseIdleConnections()
	request := c.ending.newRequest("https://" + c.ending.names["TLS"] + "/").WithContext(ctx)
	request.Header.Set("X-Timeout-Ms", "2900")
	request.Body = io.NopCloser(&slowBody{c.pause, slowClientPieces})
	request.ContentLength = slowClientPieces
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// overProcessor asks the external processor about a request whose head or body comes late.
func (c *slowClient) overProcessor(ctx context.Context) (status int, err error) {
	conn, err := grpc.NewClient(c.ending.names["EXTPROC"], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	stream, err := pb.NewExternalProcessorClient(conn).Process(ctx)
	if err != nil {
		return 0, err
	}
	return c.ask(stream)
}

// ask sends the messages of a request and returns the status of its answer.
func (c *slowClient) ask(stream grpc.BidiStreamingClient[pb.ProcessingRequest, pb.ProcessingResponse]) (status int, err error) {
	slow := slowClientPieces * c.pause
	if c.slowHead {
		time.Sleep(slow)
	}
	headers := &corev3.HeaderMap{}
	for _, f := range [][2]string{
		{":method", http.MethodPost}, {":path", "/"}, {":authority", "a"}, {":scheme", "http"}, {"x-timeout-ms", "2900"},
	} {
		headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: f[0], RawValue: []byte(f[1])})
	}
	if err := stream.Send(&pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{
		RequestHeaders: &pb.HttpHeaders{Headers: headers, EndOfStream: c.slowHead},
	}}); err != nil {
		return 0, err
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return 0, err
		}
		if immediate := reply.GetImmediateResponse(); immediate != nil {
			return int(immediate.Status.Code), nil
		}
		if reply.GetRequestHeaders() == nil {
			return 0, fmt.Errorf("unexpected message %T", reply.Response)
		}
		time.Sleep(slow)
		if err := stream.Send(&pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestBody{
			RequestBody: &pb.HttpBody{Body: []byte("x"), EndOfStream: true},
		}}); err != nil {
			return 0, err
		}
	}
}
