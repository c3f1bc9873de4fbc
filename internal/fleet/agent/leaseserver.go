package agent

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/consensus"
)

// serveLeases grants leases to another node for as long as the node's stream lasts, and sends the log's status whenever
// the status changes. The goroutine that receives the requests ends with the stream, which gRPC closes when serveLeases
// returns.
func (n *Node) serveLeases(s grpc.ServerStream) error {
	if !n.isVoter() {
		return errNotVoter
	}
	requests, failed := make(chan consensus.LeaseRequest), make(chan error, 1)
	go func() { failed <- receiveLeaseRequests(s, requests) }()
	for {
		_, changed := n.stateAndChange()
		var reply LeaseReply
		select {
		case err := <-failed:
			return err
		case <-n.ctx.Done():
			return nil
		case request := <-requests:
			reply = n.replyToLeaseRequest(request)
		case <-changed:
			state := n.state()
			if state == nil {
				return errNotVoter
			}
			status := state.LogStatus()
			reply.LogStatus = &status
		}
		out, err := encodeMessage(reply)
		if err != nil {
			return err
		}
		if err := s.SendMsg(out); err != nil {
			return err
		}
	}
}

// replyToLeaseRequest returns a reply with a grant, or with the reason why no lease was granted.
func (n *Node) replyToLeaseRequest(request consensus.LeaseRequest) LeaseReply {
	grant, err := n.grantLease(request)
	if err != nil {
		return LeaseReply{Error: err.Error()}
	}
	return LeaseReply{Grant: &grant}
}

// receiveLeaseRequests passes a node's lease requests to the channel until the stream ends, and returns the reason; nil
// if the node closed the stream.
func receiveLeaseRequests(s grpc.ServerStream, requests chan<- consensus.LeaseRequest) error {
	for {
		in := &wrapperspb.BytesValue{}
		if err := s.RecvMsg(in); err != nil {
			return ignoreEOF(err)
		}
		var request consensus.LeaseRequest
		if err := decodeMessage(in, &request); err != nil {
			return err
		}
		if err := checkLeaseRequest(request); err != nil {
			return err
		}
		select {
		case requests <- request:
		case <-s.Context().Done():
			return s.Context().Err()
		}
	}
}

// checkLeaseRequest validates the lengths of the names in a lease request.
func checkLeaseRequest(request consensus.LeaseRequest) error {
	if request.Node == "" || len(request.Node) > consensus.MaxNameBytes || len(request.Incarnation) > consensus.MaxNameBytes {
		return status.Errorf(codes.InvalidArgument,
			"lease request: the node's name must have 1 to %d bytes, and its incarnation no more than that",
			consensus.MaxNameBytes)
	}
	return nil
}
