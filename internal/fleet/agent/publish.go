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
	// publishTimeout is how long a publish, an upload of its content, or a change of a release may take.
	publishTimeout = 10 * time.Second
	// proposalRetryInterval is the time between two attempts to propose an entry. A proposal may be lost if the leader
	// fails. A repeated entry has no further effect, since it has the same id.
	proposalRetryInterval = time.Second
	// maxShownDifferences is the largest number of differences in a PublishReply.
	maxShownDifferences = 100
)

// servePublish publishes a version whose content is already stored: it validates the content, compares the version with
// all versions that nodes may act on, and proposes it.
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
		return reply, nil // the log already has a version with this id: the request was sent before
	}
	complete, err := completeManifest(state, m)
	if err != nil {
		return rejectedPublish(state, err.Error(), false), nil
	}
	// While another version is pending, a version is rejected without being parsed, since parsing is expensive. A version
	// with a stale base is parsed, since the reply shows its differences.
	if err := state.CheckProposal(m); errors.Is(err, consensus.ErrVersionPending) {
		return rejectedPublish(state, err.Error(), true), nil
	}
	next, err := n.parseVersion(ctx, complete)
	if err != nil {
		return rejectedPublish(state, err.Error(), false), nil
	}
	if err := state.CheckProposal(m); err != nil {
		return n.staleBaseReply(ctx, state, next, err), nil
	}
	if m.Contradicts, err = n.contradictsEpoch(ctx, state, next); err != nil {
		return nil, err
	}
	return n.proposeVersion(ctx, state, m, next)
}

// publishReply returns the reply for the version that was published with an id; nil if the history has no such version.
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

// rejectedPublish returns the reply for a version that was not published. With retry, the same request may succeed later.
func rejectedPublish(s *consensus.State, reason string, retry bool) *PublishReply {
	return &PublishReply{Error: reason, Retry: retry, ActiveVersion: s.ActiveVersion}
}

// completeManifest returns a copy of a manifest. If the version extends its base, the copy's parts begin with those of the
// base.
func completeManifest(s *consensus.State, m *consensus.Manifest) (*consensus.Manifest, error) {
	complete := *m
	complete.OwnParts = len(m.Parts)
	if !m.Extends {
		return &complete, nil
	}
	base := s.Version(m.Base)
	if base == nil {
		return nil, fmt.Errorf("version %d is not in the history", m.Base)
	}
	return &complete, complete.Extend(base)
}

// staleBaseReply returns the reply for a version whose base is not the active version. The reply shows how the version
// differs from the active one.
func (n *Node) staleBaseReply(
	ctx context.Context, s *consensus.State, next *consensus.Version, reason error,
) *PublishReply {
	reply := rejectedPublish(s, reason.Error(), false)
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

// contradictsEpoch reports whether a version contradicts any version of the epoch, all of which nodes may act on.
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

// proposeVersion proposes a version repeatedly until it is in the log, the log no longer allows it because of another
// version, or ctx ends.
func (n *Node) proposeVersion(
	ctx context.Context, state *consensus.State, m *consensus.Manifest, next *consensus.Version,
) (*PublishReply, error) {
	retry := time.NewTicker(proposalRetryInterval)
	defer retry.Stop()
	if err := n.propose(&consensus.Entry{Propose: m}); err != nil {
		return rejectedPublish(state, err.Error(), true), nil
	}
	for {
		state, changed := n.stateAndChange()
		if state == nil { // this node has stopped voting; the client can ask another voter for the result
			return nil, errNotVoter
		}
		if reply := publishReply(state, m.ID); reply != nil {
			n.versionsMu.Lock()
			n.cacheVersion(state.Version(reply.Number), next)
			n.versionsMu.Unlock()
			return reply, nil
		}
		if err := state.CheckProposal(m); err != nil {
			return rejectedPublish(state, err.Error(), errors.Is(err, consensus.ErrVersionPending)), nil
		}
		select {
		case <-changed:
		case <-retry.C:
			n.propose(&consensus.Entry{Propose: m})
		case <-ctx.Done():
			return rejectedPublish(state,
				"timed out before the log showed whether the version was published; retry with the same id", true), nil
		}
	}
}
