package state

import (
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// applyListeners applies an update of listeners, and reports whether the routes in force changed.
func (s *State) applyListeners(u *ads.Update) bool {
	for _, r := range u.Accepted {
		s.listeners[r.Name] = r.Value.(*translate.Listener)
	}
	for _, name := range u.Removed {
		delete(s.listeners, name)
	}
	return s.activateRoutes(false)
}

// applyRoutes applies an update of route configurations, and reports whether the routes in force changed.
func (s *State) applyRoutes(u *ads.Update) bool {
	for _, r := range u.Accepted {
		s.routes[r.Name] = r.Value.(*translate.Routes)
	}
	for _, name := range u.Removed {
		delete(s.routes, name)
	}
	return s.activateRoutes(len(u.Removed) > 0)
}

// activateRoutes puts the selected routes in force, and reports whether they changed. The current routes stay in force
// while the route configuration of a listener has not come, unless the update removed route configurations.
func (s *State) activateRoutes(removed bool) bool {
	next, pending := s.selectRoutes()
	if next == s.activeRoutes || pending && !removed {
		return false
	}
	s.activeRoutes = next
	return true
}

// selectRoutes returns the routes that the options select; nil if there are none. pending reports that the listener
// refers to a route configuration that has not come.
func (s *State) selectRoutes() (routes *translate.Routes, pending bool) {
	if s.options.Listener != "" {
		l := s.listeners[s.options.Listener]
		switch {
		case l == nil:
			return nil, false
		case l.InlineRoutes != nil:
			return l.InlineRoutes, false
		}
		routes = s.routes[l.RouteName]
		return routes, routes == nil
	}
	if s.options.Route == "" && len(s.routes) == 1 {
		for _, only := range s.routes {
			return only, false
		}
	}
	return s.routes[s.options.Route], false
}
