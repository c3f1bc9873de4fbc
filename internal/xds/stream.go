package xds

import (
	"context"
	"fmt"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"yokestall/internal/xds/ads"
)

const (
	// connectTimeout bounds the time to connect and open a stream.
	connectTimeout = 5 * time.Second
	// pingInterval is the idle time after which a connection is checked by an HTTP/2 ping.
	pingInterval = 30 * time.Second
	// pingTimeout is the time in which a ping must be acknowledged.
	pingTimeout = 10 * time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 16 << 10
	// maxQueuedRequests bounds the requests that wait to be sent on a stream; one more ends the stream.
	maxQueuedRequests = 64
	// maxTickInterval bounds the time for which the event loop waits before it calls handleTick.
	maxTickInterval = time.Second
)

// message is a message that a stream received, not yet parsed, or the error that ended the stream.
type message struct {
	bytes      []byte
	receivedAt time.Time
	err        error
}

// runStream follows a control plane on one stream, until the stream fails, receives no first response in time, or is
// closed to probe a preferred server. It returns nil only in the last case.
func (x *Client) runStream(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := x.dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := x.openStream(ctx, cancel, conn)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	x.selector.StreamOpened(x.now())
	messages := make(chan message)
	x.requests = make(chan ads.Request, maxQueuedRequests)
	var running sync.WaitGroup
	running.Go(func() { receiveMessages(ctx, stream, messages) })
	running.Go(func() { x.sendRequests(ctx, stream, x.requests) })
	defer func() {
		cancel()
		running.Wait()
	}()
	if err := x.send(x.machine.StreamOpened(x.now(), addr)); err != nil {
		return err
	}
	x.log.Info("control plane connected", "addr", addr)
	return x.eventLoop(ctx, messages)
}

// dial returns a connection to a control plane. gRPC establishes the connection when the first stream is opened.
func (x *Client) dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{}), grpc.MaxCallRecvMsgSize(x.config.MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
	)
}

// openStream opens a stream of the configured variant. cancel has to end ctx; openStream calls it if the stream is not
// open within connectTimeout.
func (x *Client) openStream(
	ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn,
) (grpc.ClientStream, error) {
	method := discoveryv3.AggregatedDiscoveryService_StreamAggregatedResources_FullMethodName
	if x.config.Variant == ads.Incremental {
		method = discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResources_FullMethodName
	}
	timeout := time.AfterFunc(connectTimeout, cancel)
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, method)
	if !timeout.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	return stream, err
}

// receiveMessages passes on the messages of the stream, and then the error that ended it. It returns early if ctx ends.
func receiveMessages(ctx context.Context, stream grpc.ClientStream, messages chan<- message) {
	for {
		var b []byte
		err := stream.RecvMsg(&b)
		select {
		case messages <- message{bytes: b, receivedAt: time.Now(), err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// sendRequests sends requests until the stream fails or ctx ends.
func (x *Client) sendRequests(ctx context.Context, stream grpc.ClientStream, requests <-chan ads.Request) {
	first := true
	for {
		select {
		case r := <-requests:
			if err := stream.SendMsg(x.discoveryRequest(&r, first)); err != nil {
				return // the receiver gets the error that ended the stream
			}
			first = false
		case <-ctx.Done():
			return
		}
	}
}

// eventLoop handles messages and timeouts until the stream is to be closed. It returns nil if the stream is to be closed
// to probe a preferred server.
func (x *Client) eventLoop(ctx context.Context, messages <-chan message) error {
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	for {
		timer.Reset(max(0, x.nextTick()-x.now()))
		if x.cache != nil {
			x.cache.saveIfDue(x.machine)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-messages:
			if m.err != nil {
				return m.err
			}
			if err := x.handleMessage(m); err != nil {
				return err
			}
		case <-timer.C:
			if done, err := x.handleTick(); done || err != nil {
				return err
			}
		}
	}
}
