package agent

import (
	"context"
	"crypto/tls"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/consensus"
)

const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 500 * time.Millisecond // short, so that a link that is back is soon used
	dialTimeout    = time.Second
)

// Dial returns a connection to a voter. It is established when it is first used, and again whenever it breaks.
func Dial(v Voter, with *tls.Config, fleet string, more ...grpc.DialOption) (*Conn, error) {
	creds := insecure.NewCredentials()
	if with != nil {
		creds = credentials.NewTLS(with)
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minDialBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxDialBackoff},
			MinConnectTimeout: dialTimeout,
		}),
	}, more...)
	c, err := grpc.NewClient("passthrough:///"+v.Address, options...)
	if err != nil {
		return nil, err
	}
	return &Conn{c, fleet}, nil
}

// sendRaftMessages sends the queued messages to another voter until the node stops.
func (n *Node) sendRaftMessages(c *Conn, queue <-chan *pb.Message) {
	for n.ctx.Err() == nil {
		n.sendRaftStream(c, queue)
		n.sleep(minDialBackoff)
	}
}

// sendRaftStream sends queued messages over one stream until that breaks.
func (n *Node) sendRaftStream(c *Conn, queue <-chan *pb.Message) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true}, methodPath(streamRaftMessages))
	if err != nil {
		n.dropQueued(queue)
		return
	}
	ended := make(chan struct{})
	go func() {
		s.RecvMsg(&wrapperspb.BytesValue{})
		close(ended)
	}()
	defer func() { stop(); <-ended }()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ended:
			return
		case m := <-queue:
			if err := sendRaftMessage(s, m); err != nil {
				n.withVoter(func(v *consensus.Voter) error { reportLost(v, m); return nil })
				return
			}
			if m.GetType() == pb.MsgSnap {
				n.withVoter(func(v *consensus.Voter) error { v.SnapshotSent(m.GetTo(), true); return nil })
			}
		}
	}
}

func sendRaftMessage(s grpc.ClientStream, m *pb.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return s.SendMsg(wrapperspb.Bytes(data))
}

// dropQueued drops the queued messages: they are too old once the connection is back.
func (n *Node) dropQueued(queue <-chan *pb.Message) {
	for {
		select {
		case m := <-queue:
			n.withVoter(func(v *consensus.Voter) error { reportLost(v, m); return nil })
		default:
			return
		}
	}
}
