package state

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// clusterEntry is a cluster that the control plane has defined, with the endpoints that it uses.
type clusterEntry struct {
	*translate.ClusterResource
	assignment *translate.Assignment // the endpoints in use; nil if no endpoints have come
	// assignedService is the EDS service name whose endpoints are in use; "" if the cluster has static endpoints or none.
	// It differs from EDSServiceName until the endpoints of EDSServiceName have come.
	assignedService string
}

// services returns the EDS service names that the cluster refers to or whose endpoints it uses. A name can be returned
// twice. c may be nil.
func (c *clusterEntry) services() (names []string) {
	if c == nil {
		return nil
	}
	for _, name := range []string{c.EDSServiceName, c.assignedService} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// applyClusters applies an update of clusters.
func (s *State) applyClusters(now time.Time, u *ads.Update, c *Change) {
	for _, r := range u.Accepted {
		s.setCluster(now, r.Value.(*translate.ClusterResource), c)
	}
	for _, name := range u.Removed {
		s.removeCluster(name, c)
	}
}

// applyEndpoints applies an update of endpoints. Removed endpoints are replaced by an empty assignment. So are missing
// endpoints that never came, unless every cluster that refers to them still uses those of another service name.
func (s *State) applyEndpoints(now time.Time, u *ads.Update, c *Change) {
	for _, r := range u.Accepted {
		s.setEndpoints(now, r.Name, r.Value.(*translate.Assignment), c)
	}
	for _, name := range u.Removed {
		s.setEndpoints(now, name, &translate.Assignment{Name: name}, c)
	}
	for _, name := range u.Missing {
		if s.endpoints[name] == nil && !s.usersHaveEndpoints(name) {
			s.setEndpoints(now, name, &translate.Assignment{Name: name}, c)
		}
	}
}

// setCluster adds or replaces a cluster. The new version uses the endpoints of the former version until its own have
// come.
func (s *State) setCluster(now time.Time, definition *translate.ClusterResource, c *Change) {
	old := s.clusters[definition.Name]
	entry := &clusterEntry{ClusterResource: definition}
	if old != nil {
		entry.assignment, entry.assignedService = old.assignment, old.assignedService
	}
	s.clusters[definition.Name] = entry
	if definition.StaticAssignment != nil {
		if old != nil && old.assignment != nil {
			inferStartTimes(now, old.assignment, definition.StaticAssignment)
		}
		entry.assignment, entry.assignedService = definition.StaticAssignment, ""
	} else if a := s.endpoints[definition.EDSServiceName]; a != nil {
		entry.assignment, entry.assignedService = a, definition.EDSServiceName
	}
	s.replaceReferences(old, entry)
	s.activate(entry, c)
}

// removeCluster removes a cluster, if it is defined.
func (s *State) removeCluster(name string, c *Change) {
	old := s.clusters[name]
	if old == nil {
		return
	}
	delete(s.clusters, name)
	s.replaceReferences(old, nil)
	if s.activeClusters[name] != nil {
		delete(s.activeClusters, name)
		c.Full = true
	}
}

// replaceReferences updates s.users for the replacement of the entry old by next; either may be nil. Endpoints to which
// no cluster refers any more are removed.
func (s *State) replaceReferences(old, next *clusterEntry) {
	for _, service := range old.services() {
		delete(s.users[service], old.Name)
	}
	for _, service := range next.services() {
		if s.users[service] == nil {
			s.users[service] = map[string]bool{}
			s.subscriptionsChanged = true
		}
		s.users[service][next.Name] = true
	}
	for _, service := range old.services() {
		if len(s.users[service]) == 0 {
			s.subscriptionsChanged = true
			delete(s.users, service)
			delete(s.endpoints, service)
		}
	}
}

// setEndpoints sets the endpoints of an EDS service name, and makes the clusters that refer to the name use them.
func (s *State) setEndpoints(now time.Time, service string, a *translate.Assignment, c *Change) {
	users := s.users[service]
	if len(users) == 0 {
		return // the name is not subscribed to any more
	}
	before := s.endpoints[service]
	if before != nil {
		inferStartTimes(now, before, a)
	}
	s.endpoints[service] = a
	for _, name := range slices.Sorted(maps.Keys(users)) {
		entry := s.clusters[name]
		if entry.EDSServiceName != service { // a former name, used until the endpoints of the current one come
			entry.assignment = a
			s.activate(entry, c)
			continue
		}
		if before == nil && entry.assignment != nil {
			inferStartTimes(now, entry.assignment, a)
		}
		next := &clusterEntry{ClusterResource: entry.ClusterResource, assignment: a, assignedService: service}
		s.clusters[name] = next
		s.replaceReferences(entry, next)
		s.activate(next, c)
	}
}

// usersHaveEndpoints reports whether each cluster that refers to an EDS service name has endpoints, if only those of
// another service name.
func (s *State) usersHaveEndpoints(service string) bool {
	for name := range s.users[service] {
		if s.clusters[name].assignment == nil {
			return false
		}
	}
	return true
}

// activate puts the current version of a cluster in force, if its endpoints have come. It adds the version to c.Clusters
// even if the cluster is new; c.Full is set then as well.
func (s *State) activate(entry *clusterEntry, c *Change) {
	if entry.assignment == nil {
		return
	}
	version := entry.Build(entry.assignment)
	if s.activeClusters[entry.Name] == nil {
		c.Full = true
	}
	s.activeClusters[entry.Name] = version
	c.Clusters = append(c.Clusters, version)
}
