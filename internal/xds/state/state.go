package state

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// Options say which resources are followed.
type Options struct {
	Listener string // whose routes are used; "": those of Route are
	Route    string // the route configuration that is used; "" without a listener: any, if there is only one
	// RoutedClustersOnly follows only the clusters that routes refer to, and otherwise all.
	RoutedClustersOnly bool
}

// State is the resources and what follows from them. Its methods are for one caller at a time; the clusters and the
// routes that they return are never changed.
type State struct {
	options   Options
	listeners map[string]*translate.Listener
	routes    map[string]*translate.Routes
	clusters  map[string]*clusterEntry
	endpoints map[string]*translate.Assignment // by EDS service name
	// users are the clusters that refer to an EDS service name, or use its endpoints; never empty.
	users map[string]map[string]bool

	activeRoutes   *translate.Routes          // nil if there are none
	activeClusters map[string]*cluster.Config // those that have endpoints
	// subscriptionsChanged reports whether the update that is applied changed the subscriptions.
	subscriptionsChanged bool
}

// New returns a state without resources.
func New(o Options) *State {
	return &State{
		options:        o,
		listeners:      map[string]*translate.Listener{},
		routes:         map[string]*translate.Routes{},
		clusters:       map[string]*clusterEntry{},
		endpoints:      map[string]*translate.Assignment{},
		users:          map[string]map[string]bool{},
		activeClusters: map[string]*cluster.Config{},
	}
}

// Change is what an update changed.
type Change struct {
	// Clusters are the new versions of clusters that were there before.
	Clusters []*cluster.Config
	// Full reports that clusters were added or removed, or that routes changed: Routes and Clusters have to be read
	// again.
	Full bool
	// SubscriptionsChanged reports that Subscriptions may return other names than before.
	SubscriptionsChanged bool
}

// Routes returns the routes in force; nil if there are none.
func (s *State) Routes() *translate.Routes { return s.activeRoutes }

// Clusters returns the clusters in force by name. A cluster whose endpoints have not come is not among them.
func (s *State) Clusters() map[string]*cluster.Config { return maps.Clone(s.activeClusters) }

// Pending returns the names of the clusters whose endpoints have not come, sorted.
func (s *State) Pending() (names []string) {
	for name, c := range s.clusters {
		if c.assignment == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Apply applies an update that was received at now. Its cost grows with the update.
func (s *State) Apply(now time.Time, u *ads.Update) (c Change) {
	s.subscriptionsChanged = u.Type == ads.Listener || u.Type == ads.Route
	switch u.Type {
	case ads.Listener:
		c.Full = s.applyListeners(u)
	case ads.Route:
		c.Full = s.applyRoutes(u)
	case ads.Cluster:
		s.applyClusters(now, u, &c)
	case ads.Endpoint:
		s.applyEndpoints(now, u, &c)
	}
	c.SubscriptionsChanged = s.subscriptionsChanged
	if c.SubscriptionsChanged {
		s.prune(&c)
	}
	return c
}
