package extproc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	pb "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"

	"yokestall/internal/gracefulclose"
)

// Bounds of a connection.
const (
	connectTimeout = 5 * time.Second  // for handshakes
	pingLeast      = 10 * time.Second // a caller that asks for signs of life more often loses its connection
	pingAfter      = 30 * time.Second // of silence; the sign has as long to come
	stopTail       = 300 * time.Millisecond
)

// Listening is where a Server listens.
type Listening struct {
	Connections int         // at once, 1 or more; the others wait to be accepted
	PerConn     int         // streams of a connection, 1 or more
	TLS         *tls.Config // nil: clear text
	Drain       time.Duration
}

// Serve answers callers on a listener until ctx ends. Then it tells them to move (GOAWAY) and that it
// is not serving (grpc.health.v1), has what is open finish within the longest patience that a request
// had, or Drain if that is longer, and ends the rest.
func (s *Server) Serve(ctx context.Context, l net.Listener, with Listening) error {
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(uint32(with.PerConn)), grpc.MaxRecvMsgSize(s.Message), grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingLeast, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingAfter}),
		grpc.MaxHeaderListSize(uint32(s.Head)), grpc.InTapHandle(s.tap),
	}
	if with.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(with.TLS)))
	}
	srv := grpc.NewServer(options...)
	pb.RegisterExternalProcessorServer(srv, s)
	alive := health.NewServer()
	healthpb.RegisterHealthServer(srv, alive)
	reflection.Register(srv)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(netutil.LimitListener(l, with.Connections)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	alive.Shutdown()
	gracefulclose.WaitForBacklog() // the server drops what it accepts from here on
	graceful := make(chan struct{})
	go func() {
		defer close(graceful)
		srv.GracefulStop()
	}()
	late := time.NewTimer(max(with.Drain, time.Duration(s.longest.Load())) + stopTail)
	defer late.Stop()
	select {
	case <-graceful:
	case <-late.C:
		srv.Stop()
		<-graceful
	}
	if err := <-ended; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}
