package state

import (
	"maps"
	"slices"

	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// Wildcard says for each type whether all its resources are subscribed to.
func (o *Options) Wildcard() (all [ads.TypeCount]bool) {
	all[ads.Cluster] = !o.RoutedClustersOnly
	return all
}

// Subscriptions returns the names of a type that are subscribed to, sorted. For a type with a wildcard, the names are
// only a part of the resources that are subscribed to.
func (s *State) Subscriptions(t ads.Type) []string {
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
		if s.activeRoutes != nil {
			for _, name := range s.activeRoutes.Table.Clusters() {
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

// prune removes route configurations and clusters that are no longer subscribed to, since their changes would not be
// received.
func (s *State) prune(c *Change) {
	if s.options.Listener != "" || s.options.Route != "" {
		subscribed := s.Subscriptions(ads.Route)
		maps.DeleteFunc(s.routes, func(name string, _ *translate.Routes) bool {
			return !slices.Contains(subscribed, name)
		})
	}
	if !s.options.RoutedClustersOnly {
		return
	}
	subscribed := s.Subscriptions(ads.Cluster)
	for name := range s.clusters {
		if _, found := slices.BinarySearch(subscribed, name); !found {
			s.removeCluster(name, c)
		}
	}
}
