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

const (
	// handshakeTimeout limits the duration of a new connection's handshakes.
	handshakeTimeout = 5 * time.Second
	// minPingInterval is the minimum interval between a caller's keep-alive pings. The server closes the connection of a
	// caller that pings more often.
	minPingInterval = 10 * time.Second
	// pingInterval is the idle time of a connection after which the server pings the caller.
	pingInterval = 30 * time.Second
	// pingTimeout is the time within which a caller must acknowledge a ping.
	pingTimeout = 30 * time.Second
	// stopMargin is added to the time that a graceful shutdown gives to open streams.
	stopMargin = 300 * time.Millisecond
)

// ListenOptions are the settings of a listener.
type ListenOptions struct {
	MaxConnections          int           // 1 or more; further connections wait to be accepted
	MaxStreamsPerConnection int           // 1 or more
	TLS                     *tls.Config   // nil: connections are not encrypted
	MinDrainTimeout         time.Duration // minimum time for open streams to finish in a graceful shutdown
}

// Serve serves callers on a listener until ctx ends. Then it shuts down gracefully: it reports that it is not serving
// (grpc.health.v1), makes callers move to other processors (GOAWAY), and lets open streams finish. They have the longest
// timeout that any request had, or MinDrainTimeout if that is longer, plus stopMargin. Streams that are open after that
// are ended.
func (s *Server) Serve(ctx context.Context, l net.Listener, o ListenOptions) error {
	srv := s.newGRPCServer(o)
	pb.RegisterExternalProcessorServer(srv, s)
	healthServer := health.NewServer()
	healthpb.RegisterHealthServer(srv, healthServer)
	reflection.Register(srv)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(netutil.LimitListener(l, o.MaxConnections)) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	healthServer.Shutdown()
	gracefulclose.WaitForBacklog() // the gRPC server drops connections that it accepts after this
	stopGracefully(srv, max(o.MinDrainTimeout, time.Duration(s.maxTimeout.Load()))+stopMargin)
	if err := <-ended; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// newGRPCServer returns a gRPC server with the limits of s and o.
func (s *Server) newGRPCServer(o ListenOptions) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(uint32(o.MaxStreamsPerConnection)),
		grpc.MaxRecvMsgSize(s.MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minPingInterval, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.MaxHeaderListSize(uint32(s.MaxHeaderBytes)),
		grpc.InTapHandle(s.tap),
		grpc.StatsHandler(connectionShares{s}),
	}
	if o.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(o.TLS)))
	}
	return grpc.NewServer(options...)
}

// stopGracefully stops a gRPC server once its streams have ended, or when the timeout has passed.
func stopGracefully(srv *grpc.Server, timeout time.Duration) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		srv.GracefulStop()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		srv.Stop()
		<-stopped
	}
}
