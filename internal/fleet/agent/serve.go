package agent

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	pb "go.etcd.io/raft/v3/raftpb"

	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
)

const (
	maxConns          = consensus.MaxHolders + 256
	maxStreams        = 64 // concurrent calls of a connection
	maxUploads        = 4  // of content at the same time
	maxHeaderBytes    = 16 << 10
	maxStatusHistory  = 32 // versions in a Status
	keepaliveInterval = 2 * time.Second
	connectTimeout    = 5 * time.Second
)

// Serve serves the other nodes on a listener until ctx ends.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveInterval}),
	}
	if n.ServerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(n.ServerTLS)))
	}
	options = append(options, n.serverOptions()...)
	srv := grpc.NewServer(options...)
	srv.RegisterService(serviceDescription(), n)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	err := srv.Serve(netutil.LimitListener(n.listener(l), maxConns))
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
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
			return status.Errorf(codes.InvalidArgument, "a voter's message: %v", err)
		}
		if err := n.receive(m); err != nil {
			return err
		}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// checkLeaseRequest validates the names in a request.
func checkLeaseRequest(request consensus.LeaseRequest) error {
	if request.Node == "" || len(request.Node) > consensus.MaxName || len(request.Incarnation) > consensus.MaxName {
		return status.Error(codes.InvalidArgument, "an ask without a good name")
	}
	return nil
}

func (n *Node) serveDescribe(_ context.Context, in *DescribeRequest) (*consensus.Manifest, error) {
	state := n.state()
	if state == nil {
		return nil, errNotVoter
	}
	m := state.Version(in.Number)
	if m == nil {
		return nil, status.Errorf(codes.NotFound, "version %d is not in the history", in.Number)
	}
	if in.OwnPartsOnly && m.Extends {
		short := *m
		short.Parts = m.Parts[len(m.Parts)-m.OwnParts:]
		return &short, nil
	}
	return m, nil
}

// rawBytes is content, which is sent as it is instead of as JSON.
type rawBytes []byte

func (n *Node) serveFetch(_ context.Context, in *FetchRequest) (*rawBytes, error) {
	data, err := n.store.Get(in.Hash)
	if err != nil {
		return nil, err
	}
	if data == nil || in.Offset < 0 || in.Offset > len(data) {
		return nil, status.Error(codes.NotFound, "content that is not here")
	}
	out := rawBytes(data[in.Offset:min(len(data), in.Offset+chunkSize)])
	return &out, nil
}

// serveMissing returns which of the hashes name content that this node doesn't have.
func (n *Node) serveMissing(_ context.Context, in *ContentHashes) (*ContentHashes, error) {
	if len(in.Hashes) > consensus.MaxFiles {
		return nil, status.Errorf(codes.InvalidArgument, "%d hashes; %d at most", len(in.Hashes), consensus.MaxFiles)
	}
	missing := &ContentHashes{}
	for _, h := range in.Hashes {
		data, err := n.store.Get(h)
		if err != nil {
			return nil, err
		}
		if data == nil {
			missing.Hashes = append(missing.Hashes, h)
		}
	}
	return missing, nil
}

// servePut stores uploaded content.
func (n *Node) servePut(s grpc.ServerStream) error {
	select {
	case n.uploads <- struct{}{}:
		defer func() { <-n.uploads }()
	case <-s.Context().Done():
		return s.Context().Err()
	}
	data, err := receiveContent(s)
	if err != nil {
		return err
	}
	if err := n.storeContent(data); err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return s.SendMsg(&wrapperspb.BytesValue{})
}

// receiveContent receives the chunks of an upload until the client has sent them all.
func receiveContent(s grpc.ServerStream) ([]byte, error) {
	var data []byte
	for {
		in := &wrapperspb.BytesValue{}
		err := s.RecvMsg(in)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data)+len(in.GetValue()) > config.MaxFile {
			return nil, status.Errorf(codes.InvalidArgument, "a file of over %d bytes", config.MaxFile)
		}
		data = append(data, in.GetValue()...)
	}
}

// serveRefusal proposes a node's refusal of a pending version.
func (n *Node) serveRefusal(_ context.Context, in *consensus.Refusal) (*struct{}, error) {
	if len(in.Node) > consensus.MaxName || len(in.Reason) > maxReason {
		return nil, status.Error(codes.InvalidArgument, "a name or a reason that is too long")
	}
	if !n.isVoter() {
		return nil, errNotVoter
	}
	return &struct{}{}, n.propose(&consensus.Entry{Refusal: in})
}

func (n *Node) serveStatus(context.Context, *struct{}) (*Status, error) {
	out := &Status{Node: n.Name, Fleet: n.Fleet, LogStatus: n.logStatus()}
	now := n.Clock()
	if a := n.applied.Load(); a != nil {
		out.Applied, out.Disconnected = a.rules, a.disconnected
		if left := a.until - now; !a.disconnected && a.until != math.MaxInt64 {
			out.LeaseLeftMs = max(0, left).Milliseconds()
		}
	}
	if s := n.state(); s != nil {
		out.Tasks = n.taskStatuses(s)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.votingError != nil {
		out.VotingError = n.votingError.Error()
	}
	if n.voter != nil {
		n.addVoterStatus(out, now)
	}
	return out, nil
}

// addVoterStatus adds what a voter knows to a status; n.mu is held.
func (n *Node) addVoterStatus(out *Status, now time.Duration) {
	out.Voter, out.Term, out.LogStatus = true, n.voter.Term(), n.voter.State().LogStatus()
	for _, v := range n.Voters {
		if v.ID() == n.voter.Leader() {
			out.Leader = v.Name
		}
	}
	out.WaitingFor, out.LeaseHolders = n.voter.AcknowledgeEpoch(now), n.voter.LeaseHolders(now)
	out.History = slices.Clone(n.voter.State().History)
	if extra := len(out.History) - maxStatusHistory; extra > 0 {
		out.History = out.History[extra:]
	}
	for i := range out.History { // Describe returns the parts
		out.History[i].Parts = nil
	}
}
