package state

import (
	"maps"
	"slices"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// Options select the resources that are followed.
type Options struct {
	Listener string // the listener whose routes are used; "" to use a route configuration without a listener
	Route    string // the route configuration used if Listener is ""; if both are "", the only one received, if any
	// RoutedClustersOnly limits the clusters that are followed to those that routes refer to. If false, all clusters are.
	RoutedClustersOnly bool
}

// State holds the resources, and the clusters and routes that follow from them. It is not safe for concurrent use. The
// clusters and routes that its methods return are never changed.
type State struct {
	options   Options
	listeners map[string]*translate.Listener
	routes    map[string]*translate.Routes
	clusters  map[string]*clusterEntry
	endpoints map[string]*translate.Assignment // by EDS service name
	// users has, by EDS service name, the names of the clusters that refer to it or use its endpoints. A service name
	// without such clusters has no entry.
	users map[string]map[string]bool

	activeRoutes   *translate.Routes          // nil if no routes are in force
	activeClusters map[string]*cluster.Config // the clusters whose endpoints have come, by name
	// subscriptionsChanged reports whether the update being applied may have changed the subscriptions.
	subscriptionsChanged bool
}

// New returns a state that has no resources.
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

// Change lists what an update has changed.
type Change struct {
	// Clusters are the new versions of clusters, including clusters that were not in force before.
	Clusters []*cluster.Config
	// Full reports that clusters were added or removed, or that routes changed: Routes and Clusters have to be read
	// again.
	Full bool
	// SubscriptionsChanged reports that Subscriptions may return other names than before.
	SubscriptionsChanged bool
}

// Routes returns the routes in force, or nil if there are none.
func (s *State) Routes() *translate.Routes { return s.activeRoutes }

// Clusters returns the clusters in force, by name. Clusters whose endpoints have not come are not in force.
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

// Apply applies an update that was received at now. The cost of Apply grows with the size of the update.
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
