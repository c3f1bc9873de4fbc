package xds

import (
	"log/slog"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"yokestall/internal/xds/ads"
)

// minSaveInterval is the shortest time between two writes of the cache file that saveIfDue queues.
const minSaveInterval = time.Second

// versionCache stores the last valid form of each resource in a file. Only the client's goroutine may call its methods.
// A separate goroutine, which newVersionCache starts and close ends, writes the file.
type versionCache struct {
	path   string
	log    *slog.Logger
	writes chan *discoveryv3.DeltaDiscoveryResponse // has a capacity of 1; closed by close
	writer sync.WaitGroup

	resources [ads.TypeCount]map[string]ads.Resource // by name
	dirty     bool                                   // resources changed since the last write was queued
	savedAt   time.Time                              // when the last write was queued
}

// newVersionCache returns a cache without resources, and starts the goroutine that writes its file.
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

// load reads the file, stores its resources in the cache and returns its content. It returns nil if the file does not
// exist.
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

// record applies an update to the stored resources.
func (c *versionCache) record(u *ads.Update) {
	for _, r := range u.Accepted {
		c.resources[u.Type][r.Name] = ads.Resource{Name: r.Name, Version: r.Version, Body: r.Body}
	}
	for _, name := range u.Removed {
		delete(c.resources[u.Type], name)
	}
	c.dirty = c.dirty || !u.Empty()
}

// saveIfDue queues a write of the file if a resource has changed and minSaveInterval has passed. It does not block: if
// a queued write has not started yet, a later call has to queue the change.
func (c *versionCache) saveIfDue(m *ads.Machine) {
	if !c.dirty || time.Since(c.savedAt) < minSaveInterval {
		return
	}
	select {
	case c.writes <- c.snapshot(m):
		c.dirty, c.savedAt = false, time.Now()
	default: // the writer has not taken the last write yet
	}
}

// saveNow queues a write as saveIfDue does, even if minSaveInterval has not passed.
func (c *versionCache) saveNow(m *ads.Machine) {
	c.savedAt = time.Time{}
	c.saveIfDue(m)
}

// close queues a write of the last changes, and waits until the goroutine that writes the file has ended.
func (c *versionCache) close(m *ads.Machine) {
	if c.dirty {
		c.writes <- c.snapshot(m)
	}
	close(c.writes)
	c.writer.Wait()
}

// snapshot returns the message that the file stores: the resources of all types, and the version of each type (state of
// the world only) as a resource without a body. It removes from the cache the resources that the state machine no
// longer knows, because they were removed or are no longer subscribed to.
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
