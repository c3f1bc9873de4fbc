package demo

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"yokestall/internal/config"
	"yokestall/internal/fake/proxy"
)

// inFront puts a stand-in proxy before the program, at whose address clients ask from then on.
func (s *show) inFront(set config.ExtProc) (end func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.processor = s.app.NewProcessor(set)
	ctx, stop := context.WithCancel(context.Background())
	var run sync.WaitGroup
	run.Go(func() { s.app.ServeProcessor(ctx, l, s.processor, set) })
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		stop()
		return nil, err
	}
	p := &proxy.Proxy{Conn: conn, BodyMode: filterv3.ProcessingMode_BUFFERED}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stop()
		return nil, err
	}
	srv := &http.Server{Handler: p, ErrorLog: log.New(io.Discard, "", 0)}
	run.Go(func() { srv.Serve(front) })
	s.url = "http://" + front.Addr().String()
	return func() {
		srv.Close()
		conn.Close()
		p.Close()
		stop()
		run.Wait()
	}, nil
}
