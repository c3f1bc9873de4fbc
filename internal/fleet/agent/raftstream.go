package agent

import (
	"context"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/consensus"
)

// sendRaftMessages sends the queued raft messages to another voter, over one stream after the other, until the node
// stops.
func (n *Node) sendRaftMessages(c *Conn, queue <-chan *pb.Message) {
	for n.ctx.Err() == nil {
		n.sendRaftStream(c, queue)
		n.sleep(minDialBackoff)
	}
}

// sendRaftStream sends queued messages over one stream until the stream breaks. The goroutine that waits for the end of
// the stream has ended when sendRaftStream returns.
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
				n.withVoter(func(v *consensus.Voter) error { reportUndelivered(v, m); return nil })
				return
			}
			if m.GetType() == pb.MsgSnap {
				n.withVoter(func(v *consensus.Voter) error { v.SnapshotSent(m.GetTo(), true); return nil })
			}
		}
	}
}

// sendRaftMessage sends one message in the raft library's protobuf encoding.
func sendRaftMessage(s grpc.ClientStream, m *pb.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return s.SendMsg(wrapperspb.Bytes(data))
}

// dropQueued drops the queued messages, which would be out of date once the connection is restored.
func (n *Node) dropQueued(queue <-chan *pb.Message) {
	for {
		select {
		case m := <-queue:
			n.withVoter(func(v *consensus.Voter) error { reportUndelivered(v, m); return nil })
		default:
			return
		}
	}
}

// serveRaftMessages handles another voter's raft messages until its stream ends.
func (n *Node) serveRaftMessages(s grpc.ServerStream) error {
	if !n.isVoter() {
		return errNotVoter
	}
	for {
		in := &wrapperspb.BytesValue{}
		if err := s.RecvMsg(in); err != nil {
			return ignoreEOF(err)
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(in.GetValue(), m); err != nil {
			return status.Errorf(codes.InvalidArgument, "raft message not decodable: %v", err)
		}
		if err := n.handleRaftMessage(m); err != nil {
			return err
		}
	}
}
