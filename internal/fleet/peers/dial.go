package peers

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/agree"
)

const (
	dialLeast = 50 * time.Millisecond
	dialMost  = 500 * time.Millisecond // between two tries to connect: a link that is back is used at once
	dialFor   = time.Second
)

// Dial gives a connection to a voter, which is made when it is needed, and again when it breaks.
func Dial(v Voter, with *tls.Config, fleet string, more ...grpc.DialOption) (*Conn, error) {
	creds := insecure.NewCredentials()
	if with != nil {
		creds = credentials.NewTLS(with)
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialLeast, Multiplier: 1.6, Jitter: 0.2, MaxDelay: dialMost},
			MinConnectTimeout: dialFor,
		}),
	}, more...)
	c, err := grpc.NewClient("passthrough:///"+v.Address, options...)
	if err != nil {
		return nil, err
	}
	return &Conn{c, fleet}, nil
}

// carryTo carries messages to a voter, until the node ends.
func (n *Node) carryTo(id uint64, c *Conn, queue <-chan *pb.Message) {
	for n.ctx.Err() == nil {
		n.carryOver(id, c, queue)
		n.pause(dialLeast)
	}
}

// carryOver does so over one stream, until that breaks.
func (n *Node) carryOver(id uint64, c *Conn, queue <-chan *pb.Message) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true}, "/"+service+"/Carry")
	lost := func(m *pb.Message) {
		n.with(func(v *agree.Voter) error {
			v.Unreachable(id)
			if m.GetType() == pb.MsgSnap {
				v.SnapshotSent(id, false)
			}
			return nil
		})
	}
	if err != nil {
		for { // what waited meanwhile is old
			select {
			case m := <-queue:
				lost(m)
				continue
			default:
			}
			return
		}
	}
	over := make(chan struct{})
	go func() {
		s.RecvMsg(&wrapperspb.BytesValue{})
		close(over)
	}()
	defer func() { stop(); <-over }()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-over:
			return
		case m := <-queue:
			data, err := proto.Marshal(m)
			if err == nil {
				err = s.SendMsg(wrapperspb.Bytes(data))
			}
			if err != nil {
				lost(m)
				return
			}
			if m.GetType() == pb.MsgSnap {
				n.with(func(v *agree.Voter) error { v.SnapshotSent(id, true); return nil })
			}
		}
	}
}

// attendTo asks a voter for leases, until the node ends.
func (n *Node) attendTo(c *Conn) {
	for n.ctx.Err() == nil {
		n.attendOver(c)
		n.pause(dialLeast)
	}
}

// attendOver does so over one stream, until that breaks, or says nothing for longer than two leases.
func (n *Node) attendOver(c *Conn) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/"+service+"/Attend")
	if err != nil {
		return
	}
	silent := time.AfterFunc(2*n.Terms.Lease, stop)
	defer silent.Stop()
	over := make(chan struct{})
	go func() {
		defer close(over)
		defer stop()
		for {
			in := &wrapperspb.BytesValue{}
			if s.RecvMsg(in) != nil {
				return
			}
			var r Reply
			if err := json.Unmarshal(in.GetValue(), &r); err != nil {
				n.Log.Warn("a voter's reply can't be read", "voter", c.Target(), "err", err)
				return
			}
			silent.Reset(2 * n.Terms.Lease)
			if r.Error != "" {
				n.Log.Warn("a voter grants no lease", "voter", c.Target(), "err", r.Error)
				continue
			}
			n.heard(r.Grant, r.News)
		}
	}()
	defer func() { stop(); <-over }()
	t := time.NewTicker(n.Terms.Renew())
	defer t.Stop()
	for {
		a, now := n.nextAsk()
		out, err := pack(a)
		if err != nil || s.SendMsg(out) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-now:
		}
	}
}
