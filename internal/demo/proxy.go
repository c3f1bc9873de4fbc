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

// startProxy starts the external processor of the load balancer and a proxy that uses it. It sets the URL of the clients to
// that of the proxy. The processor and the proxy run in goroutines that close ends.
func (d *demo) startProxy(settings config.ExtProc) error {
	processorListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.processor = d.app.NewProcessor(settings)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	d.onClose(running.Wait)
	d.onClose(stop)
	running.Go(func() { d.app.ServeProcessor(ctx, processorListener, d.processor, settings) })
	conn, err := grpc.NewClient(processorListener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	p := &proxy.Proxy{Conn: conn, BodyMode: filterv3.ProcessingMode_BUFFERED}
	d.onClose(func() {
		conn.Close()
		p.Close()
	})
	proxyListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p, ErrorLog: log.New(io.Discard, "", 0)}
	d.onClose(func() { server.Close() })
	running.Go(func() { server.Serve(proxyListener) })
	d.url = "http://" + proxyListener.Addr().String()
	return nil
}
