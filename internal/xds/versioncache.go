package xds

import (
	"log/slog"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"yokestall/internal/xds/ads"
)

// minSaveInterval is the least time between two writes of the cache file.
const minSaveInterval = time.Second

// versionCache stores the last valid form of each resource in a file. Its methods are for the client's goroutine; the
// file is written by a goroutine of its own, which newVersionCache starts and close ends.
type versionCache struct {
	path   string
	log    *slog.Logger
	writes chan *discoveryv3.DeltaDiscoveryResponse // of capacity 1; closed by close
	writer sync.WaitGroup

	resources [ads.TypeCount]map[string]ads.Resource // by name
	dirty     bool                                   // changed since the last write
	savedAt   time.Time                              // of the last write
}

// newVersionCache returns a cache in which no resource is stored.
func newVersionCache(path string, log *slog.Logger) *versionCache {
	c := &versionCache{path: path, log: log, writes: make(chan *discoveryv3.DeltaDiscoveryResponse, 1)}
	for t := range c.resources {
		c.resources[t] = map[string]ads.Resource{}
	}
	c.writer.Go(func() {
		for m := range c.writes {
			if err := writeCacheFile(c.path, m); err != nil {
				c.log.Warn("caching the control plane version failed", "file", c.path, "err", err)
			}
		}
	})
	return c
}

// load returns the version in the file, which the cache has then too; nil if there is no file.
func (c *versionCache) load() (*cachedVersion, error) {
	v, err := readCacheFile(c.path)
	if v == nil || err != nil {
		return nil, err
	}
	for t := range v.resources {
		for name, r := range v.resources[t] {
			c.resources[t][name] = r
		}
	}
	return v, nil
}

// record records an update.
func (c *versionCache) record(u *ads.Update) {
	for _, r := range u.Accepted {
		c.resources[u.Type][r.Name] = ads.Resource{Name: r.Name, Version: r.Version, Body: r.Body}
	}
	for _, name := range u.Removed {
		delete(c.resources[u.Type], name)
	}
	c.dirty = c.dirty || !u.Empty()
}

// saveIfDue has the file written if something has changed and minSaveInterval has passed. It does not wait.
func (c *versionCache) saveIfDue(m *ads.Machine) {
	if !c.dirty || time.Since(c.savedAt) < minSaveInterval {
		return
	}
	select {
	case c.writes <- c.snapshot(m):
		c.dirty, c.savedAt = false, time.Now()
	default: // the last write has not ended
	}
}

// saveNow is saveIfDue without the interval.
func (c *versionCache) saveNow(m *ads.Machine) {
	c.savedAt = time.Time{}
	c.saveIfDue(m)
}

// close has the last changes written and waits for the end of the writer.
func (c *versionCache) close(m *ads.Machine) {
	if c.dirty {
		c.writes <- c.snapshot(m)
	}
	close(c.writes)
	c.writer.Wait()
}

// snapshot returns what the file stores: the resources of all types, and the version of each type (state of the world)
// as a resource without a body. Resources that are not subscribed to any more are removed from the cache.
func (c *versionCache) snapshot(m *ads.Machine) *discoveryv3.DeltaDiscoveryResponse {
	out := &discoveryv3.DeltaDiscoveryResponse{}
	for t := range ads.TypeCount {
		version, versions := m.Versions(t)
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: t.URL(), Version: version})
		for name, r := range c.resources[t] {
			if _, known := versions[name]; !known {
				delete(c.resources[t], name)
			} else if r.Body != nil {
				out.Resources = append(out.Resources,
					&discoveryv3.Resource{Name: name, Version: r.Version, Resource: r.Body})
			}
		}
	}
	return out
}
