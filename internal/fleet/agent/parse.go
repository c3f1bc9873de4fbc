package agent

import (
	"context"
	"fmt"
	"slices"

	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// invalidVersionError means that this node can't use a version. Any other error of parseVersion means that the version
// could not be fetched so far, and that another attempt may succeed.
type invalidVersionError struct{ error }

func (e *invalidVersionError) Unwrap() error { return e.error }

// parseVersion fetches a version's content and parses it, or makes the version from its cached base.
func (n *Node) parseVersion(ctx context.Context, m *consensus.Manifest) (*consensus.Version, error) {
	if v, err := n.extendBase(ctx, m); v != nil || err != nil {
		return v, err
	}
	list, err := n.fetchFiles(ctx, m.Parts)
	if err != nil {
		return nil, err
	}
	// servePublish and fetchVersion often need the same version at the same time. It is parsed once for both.
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

// extendBase makes a version from its base if the base is cached and the version adds only changes of endpoint lists;
// otherwise it returns nil without an error.
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

// versionInLog returns a parsed version of the log's history, from the cache if it is there.
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
