package app

import (
	"maps"
	"sync"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/files"
	"yokestall/internal/xds"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// Source puts together what the files and a control plane say, and has an app take it.
// What a file says goes before what a control plane says under the same name.
type Source struct {
	app *App

	mu     sync.Mutex
	files  *files.Snapshot
	heard  bool // the control plane has said something
	said   map[string]*cluster.Cluster
	routes *translate.Routes
}

// NewSource makes a source for an app that took the files' version already.
func NewSource(a *App, first *files.Snapshot) *Source { return &Source{app: a, files: first} }

// XDSConfig gives what the program's file says of control planes; nil if it names none.
// The file for the last good version lies beside the program's own, at path.
func XDSConfig(p *config.Program, path string) *xds.Config {
	if len(p.XDS.Servers) == 0 {
		return nil
	}
	t, from := files.XDSOptions(p)
	c := &xds.Config{
		Servers: p.XDS.Servers, NodeID: p.XDS.NodeID, NodeGroup: p.XDS.NodeGroup, Zone: p.Zone,
		State: from, Translate: t, MaxMessage: p.XDS.MaxMessage,
	}
	if p.XDS.Incremental {
		c.Variant = ads.Incremental
	}
	if p.XDS.Keep != "" {
		c.Keep = files.Beside(path, p.XDS.Keep)
	}
	return c
}

// SetFiles takes another version of the files.
func (s *Source) SetFiles(next *files.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files = next
	s.whole(time.Now())
}

// Deliver takes what a control plane says.
func (s *Source) Deliver(d *xds.Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = true
	if !d.Whole {
		var changed []*cluster.Cluster
		for _, c := range d.Clusters {
			s.said[c.Name] = c
			if s.files.Version.Clusters[c.Name] == nil {
				changed = append(changed, c)
			}
		}
		if s.app.ApplyClusters(d.At, changed) {
			return
		}
	}
	s.said, s.routes = d.View.Clusters(), d.View.Routes()
	s.whole(d.At)
}

// whole has the app take all there is; s.mu is held.
func (s *Source) whole(at time.Time) {
	next := &files.Snapshot{Program: s.files.Program, Version: s.files.Version}
	if s.heard {
		all := maps.Clone(s.said)
		maps.Copy(all, s.files.Version.Clusters)
		next.Version = &cluster.Version{Number: s.files.Version.Number, Clusters: all}
		if r := s.routes; r != nil {
			p, err := next.Program.Routed(r.Table, r.Hosts, r.Classes, r.Tenants)
			if err != nil { // a class that the file no longer has
				s.app.Log.Error("control plane routes conflict with the settings file, keeping the last version", "err", err)
				return
			}
			next.Program = p
		}
	}
	if err := s.app.ApplyAt(at, next); err != nil {
		s.app.Log.Error("configuration version rejected", "err", err)
	}
}
