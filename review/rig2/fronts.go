package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// callingProxy is a stand-in of a proxy that has the program carry its clients' requests (envoy.service.ext_proc.v3).
type callingProxy struct {
	rig  *rig
	conn *grpc.ClientConn
	next int
}

// newCallingProxy returns a proxy that calls the program at addr.
func (r *rig) newCallingProxy(addr string) *callingProxy {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	r.must(err)
	return &callingProxy{rig: r, conn: conn}
}

// do asks the program about a request without a body, and returns the status of the answer that the proxy's client gets.
func (p *callingProxy) do(q request) (status int, body string) {
	p.next++
	id := fmt.Sprintf("proxied-%d", p.next)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	stream, err := pb.NewExternalProcessorClient(p.conn).Process(ctx)
	p.rig.must(err)
	headers := &corev3.HeaderMap{}
	for _, f := range [][2]string{
		{":method", q.method},
		{":path", q.path},
		{":authority", "x"},
		{":scheme", "http"},
		{"x-request-id", id},
		{"x-timeout-ms", "1900"},
		{"idempotency-key", q.key},
	} {
		headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: f[0], RawValue: []byte(f[1])})
	}
	p.rig.logf("proxy asks about %s %s %s key %s", q.method, q.path, id, q.key)
	err = stream.Send(&pb.ProcessingRequest{Request: &pb.ProcessingRequest_RequestHeaders{
		RequestHeaders: &pb.HttpHeaders{Headers: headers, EndOfStream: true},
	}})
	p.rig.must(err)
	reply, err := stream.Recv()
	if err != nil {
		p.rig.logf("proxy got for %s: %v", id, err)
		return 0, ""
	}
	answer := reply.GetImmediateResponse()
	status, body = int(answer.GetStatus().GetCode()), string(answer.GetBody())
	p.rig.logf("proxy got for %s: %d %q", id, status, body)
	return status, body
}

// frontsCase: clients push through a proxy that has the program carry their requests; the proxy dies, and they push again to the
// program itself.
func frontsCase(r *rig) {
	w := newWorld(r)
	_, endpoints := w.startServers(4, ownCells)
	listen, processor := r.freeAddr(), r.freeAddr()
	r.write("clusters/rooms.toml", clusterFile("rooms", endpoints...))
	program := strings.ReplaceAll(keyedProgram, "LISTEN", listen)
	extproc := fmt.Sprintf("[extproc]\naddress = %q\nway = \"carry\"\n\n", processor)
	program = strings.Replace(program, "[repeats]", extproc+"[repeats]", 1)
	path := r.write("yokestall.toml", program)
	r.start("serve", nil, "yokestall", "serve", "-c", path)
	c := r.newClient("c", listen)
	r.await("the program", 10*time.Second, c.ready)
	proxy := r.newCallingProxy(processor)
	var pushes []request
	for i := range 20 {
		pushes = append(pushes, request{method: "POST", path: "/booking", key: fmt.Sprintf("k-%d", i)})
	}
	for _, q := range pushes {
		if status, _ := proxy.do(q); status != 200 {
			r.fatalf("a first push was answered %d", status)
		}
	}
	if r.trouble {
		proxy.conn.Close()
		r.logf("the proxy dies")
	}
	for _, q := range slices.Backward(pushes) {
		if r.trouble {
			c.do(q)
		} else {
			proxy.do(q)
		}
	}
	for _, q := range pushes {
		w.checkOnce("/" + q.key)
	}
}
