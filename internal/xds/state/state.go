// Package state holds what a control plane has said, and gives the clusters and routes
// that follow from it. It is pure: updates and the time in, versions out.
//
// Resources refer to one another (listener, route configuration, cluster, endpoints) and
// come in any order. What is in force is kept until what replaces it is whole: a cluster
// whose new endpoints have not come serves by the old ones, which are asked for until
// then; routes stay until the next ones are there. What the control plane takes away by
// name is gone at once.
package state

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// Options say where to begin.
type Options struct {
	Listener string // whose routes are followed; "": Route is
	Route    string // the route configuration that is followed; "" with no listener: any, if there is one only
	// Named follows only the clusters that routes lead to; else all there are.
	Named bool
}

// State is what is known. Its methods are for one caller at a time; the clusters and
// routes that it gives out are never changed.
type State struct {
	options   Options
	listeners map[string]*translate.Listener
	routes    map[string]*translate.Routes
	clusters  map[string]*defined
	endpoints map[string]*translate.Assignment // by service
	users     map[string]map[string]bool       // service to the clusters that name it, or serve by it

	inForce *translate.Routes
	moved   bool // what is wanted has changed
	built   map[string]*cluster.Cluster
}

// defined is a cluster that the control plane defines.
type defined struct {
	*translate.Cluster
	using   *translate.Assignment // it serves by these; nil: none have come
	service string                // whose they are
}

// New makes a state in which nothing is known.
func New(o Options) *State {
	return &State{
		options: o, listeners: map[string]*translate.Listener{}, routes: map[string]*translate.Routes{},
		clusters: map[string]*defined{}, endpoints: map[string]*translate.Assignment{},
		users: map[string]map[string]bool{}, built: map[string]*cluster.Cluster{},
	}
}

// Change is what an update came to.
type Change struct {
	// Clusters are the new versions of clusters that were there before.
	Clusters []*cluster.Cluster
	// Whole tells that clusters came or went, or that routes changed: Routes and Clusters
	// have to be read anew.
	Whole bool
	// Wanted tells that Wanted may give other names than before.
	Wanted bool
}

// Routes gives the routes in force; nil if there are none.
func (s *State) Routes() *translate.Routes { return s.inForce }

// Clusters gives the clusters in force by name. A cluster that is defined and whose
// endpoints have not come is not among them.
func (s *State) Clusters() map[string]*cluster.Cluster { return maps.Clone(s.built) }

// Pending names the clusters that are defined and wait for their endpoints, sorted.
func (s *State) Pending() (names []string) {
	for name, c := range s.clusters {
		if c.using == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Wanted gives the names of a type that have to be asked for, sorted. Listeners and
// clusters may be wanted as a whole: see Wildcard.
func (s *State) Wanted(t ads.Type) []string {
	names := map[string]bool{}
	switch t {
	case ads.Listener:
		if s.options.Listener != "" {
			names[s.options.Listener] = true
		}
	case ads.Route:
		if s.options.Route != "" {
			names[s.options.Route] = true
		}
		if l := s.listeners[s.options.Listener]; l != nil && l.RouteName != "" {
			names[l.RouteName] = true
		}
	case ads.Cluster:
		if s.inForce != nil {
			for _, name := range s.inForce.Table.Clusters() {
				names[name] = true
			}
		}
	case ads.Endpoint:
		for service := range s.users {
			names[service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Wildcard tells which types are wanted as a whole.
func (o *Options) Wildcard() (all [ads.Types]bool) {
	all[ads.Cluster] = !o.Named
	return all
}

// Apply takes an update of now. Its cost goes by what the update holds.
func (s *State) Apply(now time.Time, u *ads.Update) (c Change) {
	s.moved = u.Type == ads.Listener || u.Type == ads.Route
	defer func() {
		if c.Wanted = s.moved; s.moved {
			s.prune(&c)
		}
	}()
	switch u.Type {
	case ads.Listener:
		for _, x := range u.Set {
			s.listeners[x.Name] = x.Value.(*translate.Listener)
		}
		for _, name := range u.Removed {
			delete(s.listeners, name)
		}
		c.Whole = s.follow(false)
	case ads.Route:
		for _, x := range u.Set {
			s.routes[x.Name] = x.Value.(*translate.Routes)
		}
		for _, name := range u.Removed {
			delete(s.routes, name)
		}
		c.Whole = s.follow(len(u.Removed) > 0)
	case ads.Cluster:
		for _, x := range u.Set {
			s.define(now, x.Value.(*translate.Cluster), &c)
		}
		for _, name := range u.Removed {
			s.undefine(name, &c)
		}
	case ads.Endpoint:
		for _, x := range u.Set {
			s.assign(now, x.Name, x.Value.(*translate.Assignment), &c)
		}
		for _, name := range u.Removed { // its servers are gone; the cluster is still defined
			s.assign(now, name, &translate.Assignment{Name: name}, &c)
		}
		for _, name := range u.Missing {
			if s.endpoints[name] == nil && !s.servesByOther(name) {
				s.assign(now, name, &translate.Assignment{Name: name}, &c)
			}
		}
	}
	return c
}

// prune forgets what is not wanted any more and is not asked for on: nobody would tell
// of its changes.
func (s *State) prune(out *Change) {
	if s.options.Listener != "" || s.options.Route != "" {
		wanted := s.Wanted(ads.Route)
		maps.DeleteFunc(s.routes, func(name string, _ *translate.Routes) bool { return !slices.Contains(wanted, name) })
	}
	if !s.options.Named {
		return
	}
	wanted := s.Wanted(ads.Cluster)
	for name := range s.clusters {
		if _, ok := slices.BinarySearch(wanted, name); !ok {
			s.undefine(name, out)
		}
	}
}

// follow puts the routes in force that the options lead to; true if they changed. Routes
// that have not come leave the present ones, unless those were taken away.
func (s *State) follow(removed bool) bool {
	name := s.options.Route
	var next *translate.Routes
	waits := false
	if s.options.Listener != "" {
		l := s.listeners[s.options.Listener]
		switch {
		case l == nil:
		case l.Inline != nil:
			next = l.Inline
		default:
			next = s.routes[l.RouteName]
			waits = next == nil && !removed
		}
	} else if next = s.routes[name]; name == "" && len(s.routes) == 1 {
		for _, only := range s.routes {
			next = only
		}
	}
	if next == s.inForce || waits {
		return false
	}
	s.inForce = next
	return true
}

// define takes a cluster, new or changed.
func (s *State) define(now time.Time, c *translate.Cluster, out *Change) {
	old := s.clusters[c.Name]
	d := &defined{Cluster: c}
	if old != nil { // until its own have come
		d.using, d.service = old.using, old.service
	}
	s.clusters[c.Name] = d
	if c.Static != nil {
		if old != nil && old.using != nil {
			starts(now, old.using, c.Static)
		}
		d.using, d.service = c.Static, ""
	} else if a := s.endpoints[c.Service]; a != nil {
		d.using, d.service = a, c.Service
	}
	s.use(old, d)
	s.build(d, out)
}

func (s *State) undefine(name string, out *Change) {
	old := s.clusters[name]
	if old == nil {
		return
	}
	delete(s.clusters, name)
	s.use(old, nil)
	if s.built[name] != nil {
		delete(s.built, name)
		out.Whole = true
	}
}

// use keeps track of who needs which endpoints, as a definition takes another's place
// (nil: there was none, or it goes); those that nobody needs any more are forgotten.
func (s *State) use(old, now *defined) {
	for _, service := range old.services() {
		delete(s.users[service], old.Name)
	}
	for _, service := range now.services() {
		if s.users[service] == nil {
			s.users[service] = map[string]bool{}
			s.moved = true
		}
		s.users[service][now.Name] = true
	}
	for _, service := range old.services() {
		if len(s.users[service]) == 0 {
			s.moved = true
			delete(s.users, service)
			delete(s.endpoints, service)
		}
	}
}

// services are those whose endpoints a cluster names or serves by.
func (d *defined) services() (list []string) {
	if d == nil {
		return nil
	}
	for _, service := range []string{d.Service, d.service} {
		if service != "" {
			list = append(list, service)
		}
	}
	return list
}

// assign takes the endpoints of a service.
func (s *State) assign(now time.Time, service string, a *translate.Assignment, out *Change) {
	users := s.users[service]
	if len(users) == 0 {
		return // nobody asks for them any more
	}
	before := s.endpoints[service]
	if before != nil {
		starts(now, before, a)
	}
	s.endpoints[service] = a
	for _, name := range slices.Sorted(maps.Keys(users)) {
		d := s.clusters[name]
		if d.Service != service { // it waits for others, and serves by these
			d.using = a
			s.build(d, out)
			continue
		}
		next := &defined{Cluster: d.Cluster, using: a, service: service}
		if before == nil && d.using != nil {
			starts(now, d.using, a) // of those that it served by so far
		}
		s.clusters[name] = next
		s.use(d, next)
		s.build(next, out)
	}
}

// servesByOther tells whether each cluster that names a service has endpoints of another.
func (s *State) servesByOther(service string) bool {
	for name := range s.users[service] {
		if s.clusters[name].using == nil {
			return false
		}
	}
	return true
}

// build puts a cluster's present version in force.
func (s *State) build(d *defined, out *Change) {
	if d.using == nil {
		return
	}
	v := d.Build(d.using)
	if s.built[d.Name] == nil {
		out.Whole = true
	}
	s.built[d.Name] = v
	out.Clusters = append(out.Clusters, v)
}

// starts sets when the endpoints of a new version have started, where nothing states it.
// One that was not there before, or could not be sent to, counts as started now: it may
// well have been, and a server that has just started must not be pushed over by what the
// others can bear. Where no server stays that could bear anything, as in a swap of all of
// them, nothing is known of any: they count as started long ago, like those of the first
// version, since to hold requests back then would help nobody.
func starts(now time.Time, old, next *translate.Assignment) {
	same := func(a, b *cluster.Endpoint) bool { return a.ID == b.ID && a.Address == b.Address }
	stays := false
	each(old, next, func(was, e *cluster.Endpoint, _ bool) {
		stays = stays || was != nil && same(was, e) && was.Serves() && e.Serves()
	})
	each(old, next, func(was, e *cluster.Endpoint, stated bool) {
		switch {
		case stated:
		case was != nil && same(was, e) && (was.Serves() || !e.Serves()):
			e.Started = was.Started
		case stays:
			e.Started = now.UnixMilli()
		}
	})
}

// each calls do with the endpoints of a version, what stood in an older one under the same
// id (nil: nothing), and whether the start is stated. Both versions are sorted by id.
func each(old, next *translate.Assignment, do func(was, e *cluster.Endpoint, stated bool)) {
	i := 0
	for j := range next.Endpoints {
		e := &next.Endpoints[j]
		for i < len(old.Endpoints) && old.Endpoints[i].ID < e.ID {
			i++
		}
		var was *cluster.Endpoint
		if i < len(old.Endpoints) && old.Endpoints[i].ID == e.ID {
			was = &old.Endpoints[i]
		}
		do(was, e, j < len(next.Stated) && next.Stated[j])
	}
}
