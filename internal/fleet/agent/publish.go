package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"yokestall/internal/fleet/consensus"
)

const (
	publishTimeout = 10 * time.Second // for a proposal to be committed
	// A proposal may be lost with its leader; repeating it is harmless, since its id stays the same
	proposeAgain        = time.Second
	maxShownDifferences = 100
)

// servePublish publishes a version: it validates the content, which has to be stored before, compares the version
// with all that nodes may act on, and proposes it.
func (n *Node) servePublish(ctx context.Context, in *PublishRequest) (*PublishReply, error) {
	ctx, stop := context.WithTimeout(ctx, publishTimeout)
	defer stop()
	m := &consensus.Manifest{ID: in.ID, Base: in.Base, Proposer: n.Name, Parts: in.Parts, Extends: in.Extends}
	if err := m.Check(); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	state, err := n.currentState(ctx)
	if err != nil {
		return nil, err
	}
	if reply := publishReply(state, in.ID); reply != nil {
		return reply, nil // the request was sent twice
	}
	whole, err := wholeManifest(state, m)
	if err != nil {
		return &PublishReply{Error: err.Error(), ActiveVersion: state.ActiveVersion}, nil
	}
	// Before the content is parsed for nothing
	if err := state.CheckProposal(m); errors.Is(err, consensus.ErrVersionPending) {
		return &PublishReply{Error: err.Error(), Retry: true, ActiveVersion: state.ActiveVersion}, nil
	}
	next, err := n.parseVersion(ctx, whole)
	if err != nil {
		return &PublishReply{Error: err.Error(), ActiveVersion: state.ActiveVersion}, nil
	}
	if err := state.CheckProposal(m); err != nil {
		return n.staleBaseReply(ctx, state, next, err), nil
	}
	if m.Contradicts, err = n.contradictsEpoch(ctx, state, next); err != nil {
		return nil, err
	}
	return n.proposeVersion(ctx, state, m, next)
}

// publishReply returns the reply for a publisher's id that is in the log; nil: it isn't.
func publishReply(s *consensus.State, id string) *PublishReply {
	m := s.Published(id)
	if m == nil {
		return nil
	}
	reply := &PublishReply{Number: m.Number, Contradicts: m.Contradicts, ActiveVersion: s.ActiveVersion}
	if m.RefusalReason != "" {
		reply.Error = "refused: " + m.RefusalReason
	}
	return reply
}

// wholeManifest returns a manifest with the parts of its base.
func wholeManifest(s *consensus.State, m *consensus.Manifest) (*consensus.Manifest, error) {
	whole := *m
	whole.OwnParts = len(m.Parts)
	if !m.Extends {
		return &whole, nil
	}
	base := s.Version(m.Base)
	if base == nil {
		return nil, fmt.Errorf("version %d is not in the history", m.Base)
	}
	return &whole, whole.Extend(base)
}

// staleBaseReply is the reply for a version that was not made from the active one: it shows how the two differ.
func (n *Node) staleBaseReply(ctx context.Context, s *consensus.State, next *consensus.Version, reason error) *PublishReply {
	reply := &PublishReply{Error: reason.Error(), ActiveVersion: s.ActiveVersion}
	active, err := n.versionInLog(ctx, s, s.ActiveVersion)
	if err != nil {
		return reply
	}
	for _, d := range consensus.Differences(active, next) {
		if len(reply.Differences) == maxShownDifferences {
			break
		}
		reply.Differences = append(reply.Differences, d.String())
	}
	return reply
}

// contradictsEpoch reports whether a version contradicts any that nodes may act on.
func (n *Node) contradictsEpoch(ctx context.Context, s *consensus.State, next *consensus.Version) (bool, error) {
	for _, number := range s.EpochVersions {
		v, err := n.versionInLog(ctx, s, number)
		if err != nil {
			return false, err
		}
		if consensus.Contradicts(consensus.Differences(v, next)) {
			return true, nil
		}
	}
	return false, nil
}

// proposeVersion proposes a version until it is in the log, another one is there before it, or ctx ends.
func (n *Node) proposeVersion(ctx context.Context, state *consensus.State, m *consensus.Manifest, next *consensus.Version) (*PublishReply, error) {
	again := time.NewTicker(proposeAgain)
	defer again.Stop()
	if err := n.propose(&consensus.Entry{Propose: m}); err != nil {
		return &PublishReply{Error: err.Error(), Retry: true, ActiveVersion: state.ActiveVersion}, nil
	}
	for {
		state, changed := n.stateAndChange()
		if state == nil { // its disk failed: another voter knows
			return nil, errNotVoter
		}
		if reply := publishReply(state, m.ID); reply != nil {
			n.versionsMu.Lock()
			n.cacheVersion(state.Version(reply.Number), next)
			n.versionsMu.Unlock()
			return reply, nil
		}
		if err := state.CheckProposal(m); err != nil {
			return &PublishReply{Error: err.Error(), Retry: errors.Is(err, consensus.ErrVersionPending), ActiveVersion: state.ActiveVersion}, nil
		}
		select {
		case <-changed:
		case <-again.C:
			n.propose(&consensus.Entry{Propose: m})
		case <-ctx.Done():
			return &PublishReply{Error: "it is not known whether it was taken up: ask again with the same id", Retry: true, ActiveVersion: state.ActiveVersion}, nil
		}
	}
}
