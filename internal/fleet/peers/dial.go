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
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 500 * time.Millisecond // between two tries to connect: a link that is back is used at once
	dialTimeout    = time.Second
)

// Dial gives a connection to a voter, which is made when it is needed, and again when it breaks.
func Dial(v Voter, with *tls.Config, fleet string) (*Conn, error) {
	creds := insecure.NewCredentials()
	if with != nil {
		creds = credentials.NewTLS(with)
	}
	c, err := grpc.NewClient("passthrough:///"+v.Address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minDialBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxDialBackoff},
			MinConnectTimeout: dialTimeout,
		}))
	if err != nil {
		return nil, err
	}
	return &Conn{c, fleet}, nil
}

// sendRaftMessages carries messages to a voter, until the node ends.
func (n *Node) sendRaftMessages(id uint64, c *Conn, queue <-chan *pb.Message) {
	for n.ctx.Err() == nil {
		n.sendRaftStream(id, c, queue)
		n.sleep(minDialBackoff)
	}
}

// sendRaftStream does so over one stream, until that breaks.
func (n *Node) sendRaftStream(id uint64, c *Conn, queue <-chan *pb.Message) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true}, "/"+service+"/Carry")
	lost := func(m *pb.Message) {
		n.withVoter(func(v *agree.Voter) error {
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
				n.withVoter(func(v *agree.Voter) error { v.SnapshotSent(id, true); return nil })
			}
		}
	}
}

// renewLeaseWith asks a voter for leases, until the node ends.
func (n *Node) renewLeaseWith(c *Conn) {
	for n.ctx.Err() == nil {
		n.renewLeaseStream(c)
		n.sleep(minDialBackoff)
	}
}

// renewLeaseStream does so over one stream, until that breaks, or says nothing for longer than two leases.
func (n *Node) renewLeaseStream(c *Conn) {
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/"+service+"/Attend")
	if err != nil {
		return
	}
	silent := time.AfterFunc(2*n.Lease.Duration, stop)
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
			var r LeaseReply
			if err := json.Unmarshal(in.GetValue(), &r); err != nil {
				n.Log.Warn("a voter's reply can't be read", "voter", c.Target(), "err", err)
				return
			}
			silent.Reset(2 * n.Lease.Duration)
			if r.Error != "" {
				n.Log.Warn("a voter grants no lease", "voter", c.Target(), "err", r.Error)
				continue
			}
			n.handleLeaseReply(r.Grant, r.LogStatus)
		}
	}()
	defer func() { stop(); <-over }()
	t := time.NewTicker(n.Lease.RenewInterval())
	defer t.Stop()
	for {
		a, now := n.nextLeaseRequest()
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
