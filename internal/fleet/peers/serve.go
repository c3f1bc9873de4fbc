package peers

import (
	"context"
	"errors"
	"fmt"
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
	"yokestall/internal/fleet/agree"
)

const (
	maxConns          = agree.MaxHolders + 256
	maxStreams        = 64 // calls of a connection at once
	maxUploads        = 4  // contents that come at once
	maxHeaderBytes    = 16 << 10
	keepaliveInterval = 2 * time.Second
	publishTimeout    = 10 * time.Second // the longest that a publish waits to be taken up
)

// Serve answers other nodes on a listener until ctx ends.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveInterval}),
	}
	if n.ServerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(n.ServerTLS)))
	}
	srv := grpc.NewServer(options...)
	srv.RegisterService(serviceDescription(), n)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	err := srv.Serve(netutil.LimitListener(l, maxConns))
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

var errNotVoter = status.Error(codes.FailedPrecondition, "this node doesn't vote")

// serveRaftMessages takes another voter's messages.
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

// serveLeases grants leases to a node for as long as it asks, and tells it when there is news.
func (n *Node) serveLeases(s grpc.ServerStream) error {
	if !n.isVoter() {
		return errNotVoter
	}
	asks, failed := make(chan agree.LeaseRequest), make(chan error, 1)
	ctx := s.Context()
	go func() {
		for {
			in := &wrapperspb.BytesValue{}
			if err := s.RecvMsg(in); err != nil {
				failed <- ignoreEOF(err)
				return
			}
			var a agree.LeaseRequest
			if err := unpack(in, &a); err != nil {
				failed <- err
				return
			}
			if a.Node == "" || len(a.Node) > agree.MaxName || len(a.Incarnation) > agree.MaxName {
				failed <- status.Error(codes.InvalidArgument, "an ask without a good name")
				return
			}
			select {
			case asks <- a:
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		_, changed := n.stateAndChange()
		var r LeaseReply
		select {
		case err := <-failed:
			return err
		case <-n.ctx.Done():
			return nil
		case a := <-asks:
			g, err := n.grantLease(a)
			if err != nil {
				r.Error = err.Error()
			} else {
				r.Grant = &g
			}
		case <-changed:
			s := n.state()
			if s == nil {
				return errNotVoter
			}
			facts := s.LogStatus()
			r.LogStatus = &facts
		}
		out, err := pack(r)
		if err != nil {
			return err
		}
		if err := s.SendMsg(out); err != nil {
			return err
		}
	}
}

func (n *Node) serveDescribe(_ context.Context, in *DescribeRequest) (*agree.Manifest, error) {
	state := n.state()
	if state == nil {
		return nil, errNotVoter
	}
	if m := state.Version(in.Number); m != nil {
		if in.OwnPartsOnly && m.Extends {
			short := *m
			short.Parts = m.Parts[len(m.Parts)-m.OwnParts:]
			return &short, nil
		}
		return m, nil
	}
	return nil, status.Errorf(codes.NotFound, "version %d is not in the history", in.Number)
}

// rawBytes is content, which travels as it is.
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

func (n *Node) serveMissing(_ context.Context, in *ContentHashes) (*ContentHashes, error) {
	if len(in.Hashes) > agree.MaxFiles {
		return nil, status.Errorf(codes.InvalidArgument, "%d hashes; %d at most", len(in.Hashes), agree.MaxFiles)
	}
	out := &ContentHashes{}
	for _, h := range in.Hashes {
		data, err := n.store.Get(h)
		if err != nil {
			return nil, err
		}
		if data == nil {
			out.Hashes = append(out.Hashes, h)
		}
	}
	return out, nil
}

// servePut keeps content.
func (n *Node) servePut(s grpc.ServerStream) error {
	select {
	case n.uploads <- struct{}{}:
		defer func() { <-n.uploads }()
	case <-s.Context().Done():
		return s.Context().Err()
	}
	var data []byte
	for {
		in := &wrapperspb.BytesValue{}
		err := s.RecvMsg(in)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if len(data)+len(in.GetValue()) > config.MaxFile {
			return status.Errorf(codes.InvalidArgument, "a file of over %d bytes", config.MaxFile)
		}
		data = append(data, in.GetValue()...)
	}
	if err := n.storeContent(data); err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return s.SendMsg(&wrapperspb.BytesValue{})
}

// serveRefusal takes a node's word that it can't hold a version that waits.
func (n *Node) serveRefusal(_ context.Context, in *agree.Refusal) (*struct{}, error) {
	if len(in.Node) > agree.MaxName || len(in.Reason) > maxReason {
		return nil, status.Error(codes.InvalidArgument, "a name or a reason that is too long")
	}
	if !n.isVoter() {
		return nil, errNotVoter
	}
	return &struct{}{}, n.propose(&agree.Entry{Refusal: in})
}

// servePublish takes up a version: its content has to be here and whole, and is held against all that nodes may act on.
func (n *Node) servePublish(ctx context.Context, in *PublishRequest) (*PublishReply, error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	m := &agree.Manifest{ID: in.ID, Base: in.Base, Proposer: n.Name, Parts: in.Parts, Extends: in.Extends}
	if err := m.Check(); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	state, err := n.currentState(ctx)
	if err != nil {
		return nil, err
	}
	if out := publishReply(state, in.ID); out != nil {
		return out, nil // it was sent twice
	}
	whole := *m
	if whole.OwnParts = len(m.Parts); m.Extends {
		base := state.Version(m.Base)
		if base == nil {
			return &PublishReply{Error: fmt.Sprintf("version %d is not in the history", m.Base), ActiveVersion: state.ActiveVersion}, nil
		}
		if err := whole.Extend(base); err != nil {
			return &PublishReply{Error: err.Error(), ActiveVersion: state.ActiveVersion}, nil
		}
	}
	if err := state.CheckProposal(m); errors.Is(err, agree.ErrVersionPending) { // before anything is read for it
		return &PublishReply{Error: err.Error(), Retry: true, ActiveVersion: state.ActiveVersion}, nil
	}
	next, err := n.parseVersion(ctx, &whole)
	if err != nil {
		return &PublishReply{Error: err.Error(), ActiveVersion: state.ActiveVersion}, nil
	}
	if err := state.CheckProposal(m); err != nil {
		out := &PublishReply{Error: err.Error(), ActiveVersion: state.ActiveVersion}
		if present, err := n.versionInLog(ctx, state, state.ActiveVersion); err == nil {
			for _, d := range agree.Differences(present, next) {
				if out.Differences = append(out.Differences, d.String()); len(out.Differences) == 100 {
					break
				}
			}
		}
		return out, nil
	}
	for _, number := range state.EpochVersions {
		alive, err := n.versionInLog(ctx, state, number)
		if err != nil {
			return nil, err
		}
		if agree.Contradicts(agree.Differences(alive, next)) {
			m.Contradicts = true
			break
		}
	}
	again := time.NewTicker(time.Second) // a leader may be lost with it; its id keeps it one
	defer again.Stop()
	if err := n.propose(&agree.Entry{Propose: m}); err != nil {
		return &PublishReply{Error: err.Error(), Retry: true, ActiveVersion: state.ActiveVersion}, nil
	}
	for {
		state, changed := n.stateAndChange()
		if state == nil { // its disk failed: another voter knows
			return nil, errNotVoter
		}
		if out := publishReply(state, in.ID); out != nil {
			n.versionsMu.Lock()
			n.cacheVersion(state.Version(out.Number), next) // it was read already
			n.versionsMu.Unlock()
			return out, nil
		}
		if err := state.CheckProposal(m); err != nil {
			return &PublishReply{Error: err.Error(), Retry: errors.Is(err, agree.ErrVersionPending), ActiveVersion: state.ActiveVersion}, nil
		}
		select {
		case <-changed:
		case <-again.C:
			n.propose(&agree.Entry{Propose: m})
		case <-ctx.Done():
			return &PublishReply{Error: "it is not known whether it was taken up: ask again with the same id", Retry: true, ActiveVersion: state.ActiveVersion}, nil
		}
	}
}

// publishReply is what a publisher is told of its version; nil: the log has none of its id.
func publishReply(s *agree.State, id string) *PublishReply {
	m := s.Published(id)
	if m == nil {
		return nil
	}
	out := &PublishReply{Number: m.Number, Contradicts: m.Contradicts, ActiveVersion: s.ActiveVersion}
	if m.RefusalReason != "" {
		out.Error = "refused: " + m.RefusalReason
	}
	return out
}

func (n *Node) serveStatus(context.Context, *struct{}) (*Status, error) {
	out := &Status{Node: n.Name, Fleet: n.Fleet}
	now := n.Clock()
	n.leaseMu.Lock()
	out.LogStatus = n.lease.LogStatus()
	n.leaseMu.Unlock()
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
	if n.voter == nil {
		return out, nil
	}
	out.Voter, out.Term, out.LogStatus = true, n.voter.Term(), n.voter.State().LogStatus()
	for _, v := range n.Voters {
		if v.ID() == n.voter.Leader() {
			out.Leader = v.Name
		}
	}
	out.WaitingFor, out.LeaseHolders = n.voter.AcknowledgeEpoch(now), n.voter.LeaseHolders(now)
	out.History = slices.Clone(n.voter.State().History)
	if most := 32; len(out.History) > most {
		out.History = out.History[len(out.History)-most:]
	}
	for i := range out.History { // the parts are asked for by number
		out.History[i].Parts = nil
	}
	return out, nil
}

// Voter is a voter of the fleet.
type Voter struct{ Name, Address string }

// ID is the voter's in the log.
func (v Voter) ID() uint64 { return voterID(v.Name) }
