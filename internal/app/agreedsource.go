package app

import (
	"sync"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/fleet/consensus"
)

// AgreedSource applies the versions that the fleet agrees on to an App. The parts of the configuration that an agreed
// version contains replace the same parts of the node's own file; all other parts come from the node's own file.
type AgreedSource struct {
	app    *App
	parser files.Parser // caches the parts that versions have in common

	mu      sync.Mutex // guards the fields below, and the order in which versions are applied
	own     *config.Program
	current *consensus.EffectiveVersion // the version applied last; nil: none yet
}

// NewAgreedSource returns a source for an App that was started with EmptyConfiguration of the node's own file.
func NewAgreedSource(a *App, own *config.Program) *AgreedSource {
	return &AgreedSource{app: a, own: own}
}

// EmptyConfiguration returns the first version for an App that gets its routes and clusters from the fleet: the node's own
// file without hosts and routes, and no clusters.
func EmptyConfiguration(own *config.Program) *files.Configuration {
	p := *own
	p.Hosts, p.Table = nil, nil
	return &files.Configuration{Program: &p, Version: &cluster.Version{Clusters: map[string]*cluster.Config{}}}
}

// Parse parses the files of a version. It fails if a file is invalid or the version conflicts with the node's own file.
func (s *AgreedSource) Parse(list []config.File) (*consensus.Version, error) {
	parsed, err := s.parser.Unbundle(list)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.own.Agreed(parsed.Program); err != nil {
		return nil, err
	}
	return &consensus.Version{Program: parsed.Program, Clusters: parsed.Version.Clusters}, nil
}

// Extend returns version v with changed endpoint lists. Only the changes are parsed. The error names the change that
// can't be applied.
func (s *AgreedSource) Extend(v *consensus.Version, changes []config.File) (*consensus.Version, error) {
	clusters, err := s.parser.Change(v.Clusters, changes)
	if err != nil {
		return nil, err
	}
	return &consensus.Version{Program: v.Program, Clusters: clusters}, nil
}

// Apply puts an agreed version in force. If it fails, nothing has changed.
func (s *AgreedSource) Apply(v consensus.EffectiveVersion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.apply(s.own, &v); err != nil {
		return err
	}
	s.current = &v
	return nil
}

// SetOwnProgram puts a new version of the node's own file in force. If the new file can't be applied with the agreed
// version, the error is logged and the previous file stays in force.
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
	configuration := &files.Configuration{Program: p, Version: &cluster.Version{Clusters: v.Clusters}}
	return s.app.ApplyRejecting(time.Now(), configuration, v.RejectedClasses)
}
