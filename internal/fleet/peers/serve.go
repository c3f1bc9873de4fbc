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
	maxConns   = agree.MaxHolders + 256
	maxStreams = 64 // calls of a connection at once
	maxPuts    = 4  // contents that come at once
	maxHead    = 16 << 10
	pingAfter  = 2 * time.Second
	publishFor = 10 * time.Second // the longest that a publish waits to be taken up
)

// Serve answers other nodes on a listener until ctx ends.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(maxStreams), grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHead), grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingAfter}),
	}
	if n.ServerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(n.ServerTLS)))
	}
	options = append(options, n.serverOptions()...)
	srv := grpc.NewServer(options...)
	srv.RegisterService(description(), n)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	err := srv.Serve(netutil.LimitListener(n.listener(l), maxConns))
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}

var errNoVoter = status.Error(codes.FailedPrecondition, "this node doesn't vote")

// carry takes another voter's messages.
func (n *Node) carry(s grpc.ServerStream) error {
	if !n.votes() {
		return errNoVoter
	}
	for {
		in := &wrapperspb.BytesValue{}
		if err := s.RecvMsg(in); err != nil {
			return ended(err)
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(in.GetValue(), m); err != nil {
			return status.Errorf(codes.InvalidArgument, "a voter's message: %v", err)
		}
		if err := n.step(m); err != nil {
			return err
		}
	}
}

func ended(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// attend grants leases to a node for as long as it asks, and tells it when there is news.
func (n *Node) attend(s grpc.ServerStream) error {
	if !n.votes() {
		return errNoVoter
	}
	asks, failed := make(chan agree.Ask), make(chan error, 1)
	ctx := s.Context()
	go func() {
		for {
			in := &wrapperspb.BytesValue{}
			if err := s.RecvMsg(in); err != nil {
				failed <- ended(err)
				return
			}
			var a agree.Ask
			if err := unpack(in, &a); err != nil {
				failed <- err
				return
			}
			if a.Node == "" || len(a.Node) > agree.MaxName || len(a.Life) > agree.MaxName {
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
		_, changed := n.newState()
		var r Reply
		select {
		case err := <-failed:
			return err
		case <-n.ctx.Done():
			return nil
		case a := <-asks:
			g, err := n.ask(a)
			if err != nil {
				r.Error = err.Error()
			} else {
				r.Grant = &g
			}
		case <-changed:
			s := n.state()
			if s == nil {
				return errNoVoter
			}
			facts := s.Facts()
			r.News = &facts
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

func (n *Node) describe(_ context.Context, in *Number) (*agree.Manifest, error) {
	state := n.state()
	if state == nil {
		return nil, errNoVoter
	}
	if m := state.Version(in.Number); m != nil {
		if in.Short && m.Extends {
			short := *m
			short.Parts = m.Parts[len(m.Parts)-m.Own:]
			return &short, nil
		}
		return m, nil
	}
	return nil, status.Errorf(codes.NotFound, "version %d is not in the history", in.Number)
}

// rawBytes is content, which travels as it is.
type rawBytes []byte

func (n *Node) fetch(_ context.Context, in *Piece) (*rawBytes, error) {
	data, err := n.store.Get(in.Hash)
	if err != nil {
		return nil, err
	}
	if data == nil || in.From < 0 || in.From > len(data) {
		return nil, status.Error(codes.NotFound, "content that is not here")
	}
	out := rawBytes(data[in.From:min(len(data), in.From+pieceSize)])
	return &out, nil
}

func (n *Node) have(_ context.Context, in *Have) (*Have, error) {
	if len(in.Hashes) > agree.MaxFiles {
		return nil, status.Errorf(codes.InvalidArgument, "%d hashes; %d at most", len(in.Hashes), agree.MaxFiles)
	}
	out := &Have{}
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

// put keeps content.
func (n *Node) put(s grpc.ServerStream) error {
	select {
	case n.puts <- struct{}{}:
		defer func() { <-n.puts }()
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
	if err := n.keepContent(data); err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return s.SendMsg(&wrapperspb.BytesValue{})
}

// refuse takes a node's word that it can't hold a version that waits.
func (n *Node) refuse(_ context.Context, in *agree.Refuse) (*struct{}, error) {
	if len(in.Node) > agree.MaxName || len(in.Why) > maxReason {
		return nil, status.Error(codes.InvalidArgument, "a name or a reason that is too long")
	}
	if !n.votes() {
		return nil, errNoVoter
	}
	return &struct{}{}, n.propose(&agree.Entry{Refuse: in})
}

// publish takes up a version: its content has to be here and whole, and is held against all that nodes may act on.
func (n *Node) publish(ctx context.Context, in *Publish) (*Published, error) {
	ctx, stop := context.WithTimeout(ctx, publishFor)
	defer stop()
	m := &agree.Manifest{ID: in.ID, Base: in.Base, By: n.Name, Parts: in.Parts, Extends: in.Extends}
	if err := m.Check(); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	state, err := n.present(ctx)
	if err != nil {
		return nil, err
	}
	if out := outcome(state, in.ID); out != nil {
		return out, nil // it was sent twice
	}
	whole := *m
	if whole.Own = len(m.Parts); m.Extends {
		base := state.Version(m.Base)
		if base == nil {
			return &Published{Error: fmt.Sprintf("version %d is not in the history", m.Base), Present: state.Number}, nil
		}
		if err := whole.Extend(base); err != nil {
			return &Published{Error: err.Error(), Present: state.Number}, nil
		}
	}
	if err := state.May(m); errors.Is(err, agree.ErrWaiting) { // before anything is read for it
		return &Published{Error: err.Error(), Again: true, Present: state.Number}, nil
	}
	next, err := n.read(ctx, &whole)
	if err != nil {
		return &Published{Error: err.Error(), Present: state.Number}, nil
	}
	if err := state.May(m); err != nil {
		out := &Published{Error: err.Error(), Present: state.Number}
		if present, err := n.version(ctx, state, state.Number); err == nil {
			for _, d := range agree.Differences(present, next) {
				if out.Differs = append(out.Differs, d.String()); len(out.Differs) == 100 {
					break
				}
			}
		}
		return out, nil
	}
	for _, number := range state.Alive {
		alive, err := n.version(ctx, state, number)
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
		return &Published{Error: err.Error(), Again: true, Present: state.Number}, nil
	}
	for {
		state, changed := n.newState()
		if state == nil { // its disk failed: another voter knows
			return nil, errNoVoter
		}
		if out := outcome(state, in.ID); out != nil {
			n.heldMu.Lock()
			n.keep(state.Version(out.Number), next) // it was read already
			n.heldMu.Unlock()
			return out, nil
		}
		if err := state.May(m); err != nil {
			return &Published{Error: err.Error(), Again: errors.Is(err, agree.ErrWaiting), Present: state.Number}, nil
		}
		select {
		case <-changed:
		case <-again.C:
			n.propose(&agree.Entry{Propose: m})
		case <-ctx.Done():
			return &Published{Error: "it is not known whether it was taken up: ask again with the same id", Again: true, Present: state.Number}, nil
		}
	}
}

// outcome is what a publisher is told of its version; nil: the log has none of its id.
func outcome(s *agree.State, id string) *Published {
	m := s.Published(id)
	if m == nil {
		return nil
	}
	out := &Published{Number: m.Number, Contradicts: m.Contradicts, Present: s.Number}
	if m.Refused != "" {
		out.Error = "refused: " + m.Refused
	}
	return out
}

func (n *Node) status(context.Context, *struct{}) (*Status, error) {
	out := &Status{Node: n.Name, Fleet: n.Fleet}
	now := n.Clock()
	n.leaseMu.Lock()
	out.Facts = n.lease.Facts()
	n.leaseMu.Unlock()
	if a := n.acting.Load(); a != nil {
		out.Acts, out.Alone = a.rules, a.alone
		if left := a.until - now; !a.alone && a.until != math.MaxInt64 {
			out.LeftMs = max(0, left).Milliseconds()
		}
	}
	if s := n.state(); s != nil {
		out.Owners = n.owners(s)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.broken != nil {
		out.Store = n.broken.Error()
	}
	if n.voter == nil {
		return out, nil
	}
	out.Voter, out.Term, out.Facts = true, n.voter.Term(), n.voter.State().Facts()
	for _, v := range n.Voters {
		if v.ID() == n.voter.Leader() {
			out.Leader = v.Name
		}
	}
	out.Waits, out.Nodes = n.voter.Clear(now), n.voter.Nodes(now)
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
