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

// Source merges the configuration of the files with that of a control plane and applies the result to an App. If both
// define a cluster of the same name, the cluster of the files takes precedence.
type Source struct {
	app *App

	mu       sync.Mutex // guards the fields below, and the order in which versions are applied
	files    *files.Configuration
	received bool                       // whether the control plane has made a delivery
	clusters map[string]*cluster.Config // clusters of the control plane's last delivery, by name
	routes   *translate.Routes          // routes of the control plane's last delivery; nil: none
}

// NewSource returns a Source for an App that has applied the first version of the files.
func NewSource(a *App, first *files.Configuration) *Source { return &Source{app: a, files: first} }

// XDSConfig returns the configuration of the xDS client for the program's file at path, or nil if the file names no
// control plane. The path of the cache file is relative to the folder of the program's file.
func XDSConfig(p *config.Program, path string) *xds.Config {
	if len(p.XDS.Servers) == 0 {
		return nil
	}
	t, from := files.XDSOptions(p)
	c := &xds.Config{
		Servers: p.XDS.Servers, NodeID: p.XDS.NodeID, NodeCluster: p.XDS.NodeGroup, Zone: p.Zone,
		State: from, Translate: t, MaxMessageBytes: p.XDS.MaxMessage,
	}
	if p.XDS.Incremental {
		c.Variant = ads.Incremental
	}
	if p.XDS.Keep != "" {
		c.CacheFile = files.Beside(path, p.XDS.Keep)
	}
	return c
}

// SetFiles puts a new version of the files in force.
func (s *Source) SetFiles(next *files.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files = next
	s.applyMerged(time.Now())
}

// Deliver puts a control plane's delivery in force. A delivery that changes only known clusters is applied without
// building a new state, if App.ApplyClusters can do so.
func (s *Source) Deliver(d *xds.Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = true
	if !d.Full {
		var changed []*cluster.Config
		for _, c := range d.Clusters {
			s.clusters[c.Name] = c
			if s.files.Version.Clusters[c.Name] == nil {
				changed = append(changed, c)
			}
		}
		if s.app.ApplyClusters(d.ReceivedAt, changed) {
			return
		}
	}
	s.clusters, s.routes = d.View.Clusters(), d.View.Routes()
	s.applyMerged(d.ReceivedAt)
}

// applyMerged applies the merged configuration of the files and the control plane to the app. If it is rejected, the
// error is logged and the version in force stays. The caller holds s.mu.
func (s *Source) applyMerged(deliveredAt time.Time) {
	next, err := s.merge()
	if err != nil {
		s.app.Log.Error("control plane routes conflict with the settings file, keeping the last version", "err", err)
		return
	}
	if err := s.app.ApplyAt(deliveredAt, next); err != nil {
		s.app.Log.Error("configuration version rejected", "err", err)
	}
}

// merge returns the configuration of the files and the control plane as one version. It fails if the control plane's
// routes conflict with the files, for example because the program's file no longer has the class of a route. The caller
// holds s.mu.
func (s *Source) merge() (*files.Configuration, error) {
	next := &files.Configuration{Program: s.files.Program, Version: s.files.Version}
	if !s.received {
		return next, nil
	}
	all := maps.Clone(s.clusters)
	maps.Copy(all, s.files.Version.Clusters)
	next.Version = &cluster.Version{Number: s.files.Version.Number, Clusters: all}
	if r := s.routes; r != nil {
		p, err := next.Program.Routed(r.Table, r.Hosts, r.Classes, r.Tenants)
		if err != nil {
			return nil, err
		}
		next.Program = p
	}
	return next, nil
}
