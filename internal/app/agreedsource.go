package app

import (
	"sync"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// AgreedSource has an app apply the versions that its fleet agrees on. What they contain replaces the same parts of the
// node's own file; the rest of that file is the node's.
type AgreedSource struct {
	app    *App
	parser files.Parser // caches what versions have in common

	mu      sync.Mutex // guards the fields below, and the order in which versions are applied
	own     *config.Program
	current *consensus.EffectiveVersion // nil: no version was applied yet
}

// NewAgreedSource returns a source for an app that started with EmptySnapshot of its own file.
func NewAgreedSource(a *App, own *config.Program) *AgreedSource {
	return &AgreedSource{app: a, own: own}
}

// EmptySnapshot returns the first version of an app that gets its routes and clusters from its fleet.
func EmptySnapshot(own *config.Program) *files.Configuration {
	p := *own
	p.Hosts, p.Table = nil, nil
	return &files.Configuration{Program: &p, Version: &cluster.Version{Clusters: map[string]*cluster.Config{}}}
}

// Parse parses the files of a version. The error says why this node can't apply it.
func (s *AgreedSource) Parse(list []config.File) (*consensus.Version, error) {
	snapshot, err := s.parser.Unbundle(list)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.own.Agreed(snapshot.Program); err != nil {
		return nil, err
	}
	return &consensus.Version{Program: snapshot.Program, Clusters: snapshot.Version.Clusters}, nil
}

// Extend parses a version that consists of another one and changes of endpoint lists, at the cost of the changes. The
// error says which change can't be applied.
func (s *AgreedSource) Extend(v *consensus.Version, changes []config.File) (*consensus.Version, error) {
	clusters, err := s.parser.Change(v.Clusters, changes)
	if err != nil {
		return nil, err
	}
	return &consensus.Version{Program: v.Program, Clusters: clusters}, nil
}

// Apply puts a version in force. After an error nothing has changed.
func (s *AgreedSource) Apply(v consensus.EffectiveVersion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.apply(s.own, &v); err != nil {
		return err
	}
	s.current = &v
	return nil
}

// SetOwnProgram puts another version of the node's own file in force. One that conflicts with the agreed version is
// logged and ignored.
func (s *AgreedSource) SetOwnProgram(own *config.Program) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		if err := s.apply(own, s.current); err != nil {
			s.app.Log.Error("node file conflicts with the agreed version, keeping the last one", "err", err)
			return
		}
	}
	s.own = own
}

func (s *AgreedSource) apply(own *config.Program, v *consensus.EffectiveVersion) error {
	p, err := own.Agreed(v.Program)
	if err != nil {
		return err
	}
	snapshot := &files.Configuration{Program: p, Version: &cluster.Version{Clusters: v.Clusters}}
	return s.app.ApplyRejecting(time.Now(), snapshot, v.RefusedClasses)
}
