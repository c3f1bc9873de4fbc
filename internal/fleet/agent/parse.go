package agent

import (
	"context"
	"fmt"
	"slices"

	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// invalidVersionError is why this node can't use a version. Another error means that the version isn't here yet.
type invalidVersionError struct{ error }

func (e *invalidVersionError) Unwrap() error { return e.error }

// parseVersion fetches a version's content and parses it.
func (n *Node) parseVersion(ctx context.Context, m *consensus.Manifest) (*consensus.Version, error) {
	if v, err := n.extendBase(ctx, m); v != nil || err != nil {
		return v, err
	}
	list, err := n.fetchFiles(ctx, m.Parts)
	if err != nil {
		return nil, err
	}
	// A publish and the application of its version often need the same version at the same time: it is parsed once.
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
