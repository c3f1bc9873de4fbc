package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"yokestall/internal/fleet/consensus"
)

const (
	manifestTimeout = time.Second     // timeout of a request to one voter for a manifest
	contentTimeout  = 5 * time.Second // timeout of a request to one voter for the content of a part
	refusalTimeout  = time.Second     // timeout of a call that reports a refusal to one voter
)

// hasOrFetch reports whether a version is cached. If the version is neither cached nor known to be unusable, hasOrFetch
// starts to fetch it. n.leaseMu is held.
func (n *Node) hasOrFetch(number uint64) bool {
	n.versionsMu.Lock()
	defer n.versionsMu.Unlock()
	if n.versions[number] != nil {
		return true
	}
	if number != 0 && !n.fetching[number] && n.unusable[number] == "" {
		n.fetching[number] = true
		n.background.Go(func() { n.fetchVersion(number) })
	}
	return false
}

// fetchVersion tries to fetch a version until it is cached, found to be unusable, or neither active nor pending.
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

// fetchOnce fetches and parses a version in one attempt.
func (n *Node) fetchOnce(number uint64) (*consensus.Manifest, *consensus.Version, error) {
	m, err := n.fetchManifest(n.ctx, number)
	if err != nil {
		return nil, nil, err
	}
	v, err := n.parseVersion(n.ctx, m)
	return m, v, err
}

// finishFetch caches a fetched version. If err is not nil, it records the version as unusable and reports that to the
// voters.
func (n *Node) finishFetch(number uint64, m *consensus.Manifest, v *consensus.Version, err error) {
	n.versionsMu.Lock()
	delete(n.fetching, number)
	if err == nil {
		n.cacheVersion(m, v)
	} else {
		n.unusable[number] = err.Error()
		maps.DeleteFunc(n.unusable, func(old uint64, _ string) bool { return old+maxCachedVersions < number })
	}
	n.versionsMu.Unlock()
	if err != nil {
		n.Log.Error("version not usable", "version", number, "err", err)
		n.reportUnusable(number, err.Error())
	}
	n.reevaluateLease()
}

// cacheVersion caches a version, and evicts the oldest versions that are neither applied nor in the current epoch if the
// cache is full. n.versionsMu is held; n.mu must not be held.
func (n *Node) cacheVersion(m *consensus.Manifest, v *consensus.Version) {
	n.versions[m.Number], n.manifests[m.Number] = v, m
	var epochVersions []uint64 // on a voter, which compares each new version with all of them
	if s := n.state(); s != nil {
		epochVersions = s.EpochVersions
	}
	for len(n.versions) > maxCachedVersions+len(epochVersions) {
		oldest := uint64(math.MaxUint64)
		for number := range n.versions {
			if !n.isApplied(number) && !slices.Contains(epochVersions, number) {
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
	return a != nil && (number == a.versions.Version || number == a.versions.PendingVersion)
}

// reportUnusable reports to the voters that this node can't use a version, and repeats the report until the version is
// no longer pending.
func (n *Node) reportUnusable(number uint64, reason string) {
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

// fetchManifest returns a version's manifest, from this node's own log or from another voter.
func (n *Node) fetchManifest(ctx context.Context, number uint64) (*consensus.Manifest, error) {
	if s := n.state(); s != nil {
		if m := s.Version(number); m != nil {
			return m, nil
		}
	}
	noAnswer := fmt.Errorf("no other voter returned the manifest of version %d", number)
	request := func(ctx context.Context, c *Conn) (*consensus.Manifest, error) {
		m, err := n.describeFrom(ctx, c, number)
		if err == nil && m.Number != number {
			return nil, noAnswer
		}
		return m, err
	}
	m, err := firstAnswer(ctx, maps.Values(n.conns), manifestTimeout, noAnswer, request)
	if err != nil {
		return nil, err
	}
	return m, m.Check()
}

// describeFrom requests a version's manifest from a voter. If the version extends a base whose manifest is cached, the
// voter sends only the version's own parts.
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
