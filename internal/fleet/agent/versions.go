package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

const (
	manifestTimeout = time.Second
	contentTimeout  = 5 * time.Second
	refusalTimeout  = time.Second
)

// invalidVersionError is that this node can't use a version, rather than that the version isn't here yet.
type invalidVersionError struct{ error }

func (e *invalidVersionError) Unwrap() error { return e.error }

// hasVersion reports whether a version is cached, and begins to fetch it if not; n.leaseMu is held.
func (n *Node) hasVersion(number uint64) bool {
	n.versionsMu.Lock()
	defer n.versionsMu.Unlock()
	if n.versions[number] != nil {
		return true
	}
	if number != 0 && !n.fetching[number] && n.rejected[number] == "" {
		n.fetching[number] = true
		n.background.Go(func() { n.fetchVersion(number) })
	}
	return false
}

// fetchVersion fetches a version until it is cached, found invalid, or no longer needed.
func (n *Node) fetchVersion(number uint64) {
	for n.ctx.Err() == nil {
		m, v, err := n.fetchOnce(number)
		var invalid *invalidVersionError
		if err == nil || errors.As(err, &invalid) {
			n.finishFetch(number, m, v, err)
			return
		}
		if status := n.logStatus(); number != status.ActiveVersion && number != status.PendingVersion {
			break
		}
		n.sleep(retryDelay)
	}
	n.versionsMu.Lock()
	delete(n.fetching, number)
	n.versionsMu.Unlock()
}

func (n *Node) fetchOnce(number uint64) (*consensus.Manifest, *consensus.Version, error) {
	m, err := n.fetchManifest(n.ctx, number)
	if err != nil {
		return nil, nil, err
	}
	v, err := n.parseVersion(n.ctx, m)
	return m, v, err
}

// finishFetch caches a version, or rejects it for an error.
func (n *Node) finishFetch(number uint64, m *consensus.Manifest, v *consensus.Version, err error) {
	n.versionsMu.Lock()
	delete(n.fetching, number)
	if err == nil {
		n.cacheVersion(m, v)
	} else {
		n.rejected[number] = err.Error()
		maps.DeleteFunc(n.rejected, func(old uint64, _ string) bool { return old+maxCachedVersions < number })
	}
	n.versionsMu.Unlock()
	if err != nil {
		n.Log.Error("a version can't be held here", "version", number, "err", err)
		n.reportRefusal(number, err.Error())
	}
	n.handleLeaseReply(nil, nil)
}

// cacheVersion caches a version and evicts the oldest ones that nothing needs; n.versionsMu is held, and n.mu must
// not be.
func (n *Node) cacheVersion(m *consensus.Manifest, v *consensus.Version) {
	n.versions[m.Number], n.manifests[m.Number] = v, m
	var ofEpoch []uint64 // a voter compares a new version with each of them
	if s := n.state(); s != nil {
		ofEpoch = s.EpochVersions
	}
	for len(n.versions) > maxCachedVersions+len(ofEpoch) {
		oldest := uint64(math.MaxUint64)
		for number := range n.versions {
			if !n.isApplied(number) && !slices.Contains(ofEpoch, number) {
				oldest = min(oldest, number)
			}
		}
		delete(n.versions, oldest)
		delete(n.manifests, oldest)
	}
}

// isApplied reports whether the program acts on a version.
func (n *Node) isApplied(number uint64) bool {
	a := n.applied.Load()
	return a != nil && (number == a.rules.Version || number == a.rules.PendingVersion)
}

// reportRefusal tells the voters that this node can't use a version, until it is no longer pending.
func (n *Node) reportRefusal(number uint64, reason string) {
	for n.ctx.Err() == nil {
		if n.logStatus().PendingVersion != number {
			return
		}
		refusal := &consensus.Refusal{Number: number, Node: n.Name, Reason: reason[:min(len(reason), maxReason/2)]}
		n.propose(&consensus.Entry{Refusal: refusal})
		for _, c := range n.conns {
			ctx, stop := context.WithTimeout(n.ctx, refusalTimeout)
			call[struct{}](ctx, c, methodRefuse, refusal)
			stop()
		}
		n.sleep(retryDelay)
	}
}

// fetchManifest returns a version's manifest, from this node's own log or from a voter.
func (n *Node) fetchManifest(ctx context.Context, number uint64) (*consensus.Manifest, error) {
	if s := n.state(); s != nil {
		if m := s.Version(number); m != nil {
			return m, nil
		}
	}
	noAnswer := fmt.Errorf("no voter has version %d", number)
	m, err := firstAnswer(ctx, maps.Values(n.conns), manifestTimeout, noAnswer, func(ctx context.Context, c *Conn) (*consensus.Manifest, error) {
		m, err := n.describeFrom(ctx, c, number)
		if err == nil && m.Number != number {
			return nil, noAnswer
		}
		return m, err
	})
	if err != nil {
		return nil, err
	}
	return m, m.Check()
}

// describeFrom asks a voter for a manifest. Of one that extends a known base, only the own parts are sent.
func (n *Node) describeFrom(ctx context.Context, c *Conn, number uint64) (*consensus.Manifest, error) {
	m, err := call[consensus.Manifest](ctx, c, methodDescribe, DescribeRequest{Number: number, OwnPartsOnly: true})
	if err != nil || !m.Extends {
		return m, err
	}
	n.versionsMu.Lock()
	base := n.manifests[m.Base]
	n.versionsMu.Unlock()
	if base == nil {
		return c.Describe(ctx, number)
	}
	return m, m.Extend(base)
}

// parseVersion fetches a version's content and parses it.
func (n *Node) parseVersion(ctx context.Context, m *consensus.Manifest) (*consensus.Version, error) {
	if v, err := n.extendBase(ctx, m); v != nil || err != nil {
		return v, err
	}
	list, err := n.fetchFiles(ctx, m.Parts)
	if err != nil {
		return nil, err
	}
	// The publisher of a version and the node that is to apply it often parse it at the same time: it is done once.
	n.parseMu.Lock()
	defer n.parseMu.Unlock()
	if n.lastParsed != nil && slices.Equal(n.lastParsedParts, m.Parts) {
		return n.lastParsed, nil
	}
	v, err := n.Parse(list)
	if err != nil {
		return nil, &invalidVersionError{err}
	}
	n.lastParsed, n.lastParsedParts = v, m.Parts
	return v, nil
}

// extendBase makes a version from its base, if that is cached and only changes of lists were added to it; otherwise
// it returns nil.
func (n *Node) extendBase(ctx context.Context, m *consensus.Manifest) (*consensus.Version, error) {
	n.versionsMu.Lock()
	base, baseManifest := n.versions[m.Base], n.manifests[m.Base]
	n.versionsMu.Unlock()
	if n.Extend == nil || !m.Extends || base == nil || len(baseManifest.Parts)+m.OwnParts != len(m.Parts) {
		return nil, nil
	}
	added := m.Parts[len(baseManifest.Parts):]
	if slices.ContainsFunc(added, func(p consensus.Part) bool { return !files.IsChange(p.Name) }) {
		return nil, nil
	}
	changes, err := n.fetchFiles(ctx, added)
	if err != nil {
		return nil, err
	}
	v, err := n.Extend(base, changes)
	if err != nil {
		return nil, &invalidVersionError{err}
	}
	return v, nil
}

// fetchFiles returns the content of parts.
func (n *Node) fetchFiles(ctx context.Context, parts []consensus.Part) ([]config.File, error) {
	var list []config.File
	for _, p := range parts {
		data, err := n.fetchContent(ctx, p)
		if err != nil {
			return nil, err
		}
		list = append(list, config.File{Name: p.Name, Text: data})
	}
	return list, nil
}

// fetchContent returns a part's content, from the store or from a voter.
func (n *Node) fetchContent(ctx context.Context, p consensus.Part) ([]byte, error) {
	if p.Size > config.MaxFile {
		return nil, &invalidVersionError{fmt.Errorf("%s: %d bytes; %d at most", p.Name, p.Size, config.MaxFile)}
	}
	data, err := n.store.Get(p.Hash)
	if data != nil {
		return data, nil
	}
	noAnswer := err // a failed disk doesn't end service: the voters have the content
	if noAnswer == nil {
		noAnswer = fmt.Errorf("%s: no voter has its content", p.Name)
	}
	data, err = firstAnswer(ctx, maps.Values(n.conns), contentTimeout, noAnswer, func(ctx context.Context, c *Conn) ([]byte, error) {
		return c.Fetch(ctx, p)
	})
	if err != nil {
		return nil, err
	}
	if err := n.storeContent(data); err != nil {
		n.Log.Warn("content is not kept here", "file", p.Name, "err", err)
	}
	return data, nil
}

func (n *Node) storeContent(data []byte) error {
	n.mu.Lock()
	n.recentContent[hash(data)] = time.Now()
	n.mu.Unlock()
	return n.store.Put(data)
}

// versionInLog returns a version of the log's history, parsed.
func (n *Node) versionInLog(ctx context.Context, s *consensus.State, number uint64) (*consensus.Version, error) {
	n.versionsMu.Lock()
	v := n.versions[number]
	n.versionsMu.Unlock()
	if v != nil {
		return v, nil
	}
	m := s.Version(number)
	if m == nil {
		return nil, fmt.Errorf("version %d is not in the history", number)
	}
	return n.parseVersion(ctx, m)
}
