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

	"yokestall/internal/fleet/consensus"
)

const (
	maxConns          = consensus.MaxHolders + 256 // connections to this node, from all lease holders and from operators
	maxStreams        = 64                         // concurrent calls of one connection
	maxUploads        = 4                          // concurrent uploads of content
	maxHeaderBytes    = 16 << 10                   // size of a call's metadata
	maxStatusHistory  = 32                         // versions in the History of a Status
	keepaliveInterval = 2 * time.Second            // time without traffic after which a connection is probed
	connectTimeout    = 5 * time.Second            // timeout of a new connection's handshake
)

// Serve serves other nodes and operators' clients on a listener until ctx ends. It returns once all calls have ended, which may
// write to the store until then.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.ConnectionTimeout(connectTimeout), grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveInterval / 2, PermitWithoutStream: true,
		}),
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

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// serveDescribe returns the manifest of a version in the history.
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
		own := *m
		own.Parts = m.Parts[len(m.Parts)-m.OwnParts:]
		return &own, nil
	}
	return m, nil
}

// serveRefusal proposes a node's refusal of a pending version.
func (n *Node) serveRefusal(_ context.Context, in *consensus.Refusal) (*struct{}, error) {
	if len(in.Node) > consensus.MaxNameBytes || len(in.Reason) > maxReason {
		return nil, status.Error(codes.InvalidArgument, "the refusal's node name or reason is too long")
	}
	if !n.isVoter() {
		return nil, errNotVoter
	}
	return &struct{}{}, n.propose(&consensus.Entry{Refusal: in})
}

// serveStatus returns this node's view of the fleet.
func (n *Node) serveStatus(context.Context, *struct{}) (*Status, error) {
	out := &Status{Node: n.Name, Fleet: n.Fleet, LogStatus: n.logStatus()}
	now := n.Clock()
	if a := n.applied.Load(); a != nil {
		out.Applied, out.Disconnected = a.versions, a.disconnected
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

// addVoterStatus adds the fields of a status that only a voter sets; n.mu is held.
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
	for i := range out.History { // clients get the parts from Describe
		out.History[i].Parts = nil
	}
}
