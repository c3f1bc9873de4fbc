package app

import (
	"sync"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// AgreedSource has an app take what its fleet agrees on. What the node's own file says of the same things is not acted
// on; the rest of that file is the node's.
type AgreedSource struct {
	app    *App
	parser files.Parser // so that a new version costs what it changes

	mu   sync.Mutex
	own  *config.Program
	last *consensus.EffectiveVersion // nil: nothing yet
}

// NewAgreedSource makes a source for an app that serves nothing yet.
func NewAgreedSource(a *App, own *config.Program) *AgreedSource {
	return &AgreedSource{app: a, own: own}
}

// EmptySnapshot is what an app starts on that has to be told by its fleet what to serve.
func EmptySnapshot(own *config.Program) *files.Snapshot {
	p := *own
	p.Hosts, p.Table = nil, nil
	return &files.Snapshot{Program: &p, Version: &cluster.Version{Clusters: map[string]*cluster.Cluster{}}}
}

// Parse reads a version's files; an error is why this node can't hold it.
func (s *AgreedSource) Parse(list []config.File) (*consensus.Version, error) {
	snap, err := s.parser.Unbundle(list)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.own.Agreed(snap.Program); err != nil {
		return nil, err
	}
	return &consensus.Version{Program: snap.Program, Clusters: snap.Version.Clusters}, nil
}

// Extend is Parse for a version that has the files of another one and changes of lists beside them, at the cost of
// these.
func (s *AgreedSource) Extend(v *consensus.Version, changes []config.File) (*consensus.Version, error) {
	clusters, err := s.parser.Change(v.Clusters, changes)
	if err != nil {
		return nil, err
	}
	return &consensus.Version{Program: v.Program, Clusters: clusters}, nil
}

// Apply acts on something from now on.
func (s *AgreedSource) Apply(a consensus.EffectiveVersion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.take(s.own, &a); err != nil {
		return err
	}
	s.last = &a
	return nil
}

// SetOwnProgram takes another version of the node's own file.
func (s *AgreedSource) SetOwnProgram(own *config.Program) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil {
		if err := s.take(own, s.last); err != nil {
			s.app.Log.Error("node file conflicts with the agreed version, keeping the last one", "err", err)
			return
		}
	}
	s.own = own
}

func (s *AgreedSource) take(own *config.Program, a *consensus.EffectiveVersion) error {
	p, err := own.Agreed(a.Program)
	if err != nil {
		return err
	}
	return s.app.ApplyRejecting(time.Now(), &files.Snapshot{Program: p, Version: &cluster.Version{Clusters: a.Clusters}}, a.Refused)
}
