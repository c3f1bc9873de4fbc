package state

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yokestall/internal/cluster"
	"yokestall/internal/route"
	"yokestall/internal/xds/ads"
	"yokestall/internal/xds/translate"
)

// newAssignment returns the endpoints of an EDS service name. An endpoint without an address gets one from its id.
func newAssignment(service string, list ...cluster.Endpoint) *translate.Assignment {
	a := &translate.Assignment{Name: service, Endpoints: list}
	for i := range list {
		if list[i].Address == "" {
			list[i].Address = list[i].ID + ":80"
		}
	}
	return a
}

// acceptedUpdate returns an update with one accepted resource.
func acceptedUpdate(t ads.Type, name string, v any) *ads.Update {
	return &ads.Update{Type: t, Accepted: []ads.ValidResource{{Name: name, Value: v}}}
}

// edsClusterUpdate returns an update with one accepted cluster, whose endpoints come by EDS.
func edsClusterUpdate(name, service string) *ads.Update {
	return acceptedUpdate(ads.Cluster, name, &translate.ClusterResource{Name: name, EDSServiceName: service})
}

// routesTo returns routes with one route to each cluster.
func routesTo(clusters ...string) *translate.Routes {
	r := &translate.Routes{Hosts: []route.VirtualHost{{Domains: []string{"*"}}}}
	for _, c := range clusters {
		r.Hosts[0].Routes = append(r.Hosts[0].Routes, route.Route{Path: "/", Clusters: []route.WeightedCluster{{Cluster: c}}})
	}
	r.Table, _ = route.Compile(r.Hosts)
	return r
}

// TestMakeBeforeBreak applies drawn updates in any order. It checks that a cluster uses the newest endpoints of its EDS
// service name, and its former endpoints until those have come; that the service names subscribed to are those that
// clusters refer to or use; and that the endpoints of other service names are not stored.
func TestMakeBeforeBreak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{})
		serviceOf := map[string]string{}      // EDS service name, by cluster
		latestEndpoint := map[string]string{} // id of the only endpoint, by subscribed service name
		activeEndpoint := map[string]string{} // id of the endpoint in use, by cluster
		activeService := map[string]string{}  // service name of the endpoint in use, by cluster
		subscribed := func() map[string]bool {
			all := map[string]bool{}
			for _, by := range []map[string]string{serviceOf, activeService} {
				for _, service := range by {
					all[service] = true
				}
			}
			return all
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := rapid.SampledFrom([]string{"c1", "c2", "c3"}).Draw(t, "cluster")
			service := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "service")
			var change Change
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				change = s.Apply(time.Unix(1, 0), edsClusterUpdate(c, service))
				if serviceOf[c] = service; latestEndpoint[service] != "" {
					activeEndpoint[c], activeService[c] = latestEndpoint[service], service
				}
			case 2, 3:
				id := fmt.Sprint("e", i)
				change = s.Apply(time.Unix(1, 0), acceptedUpdate(ads.Endpoint, service, newAssignment(service, cluster.Endpoint{ID: id})))
				if subscribed()[service] {
					latestEndpoint[service] = id
				}
				for c := range serviceOf {
					if serviceOf[c] == service || activeService[c] == service {
						activeEndpoint[c], activeService[c] = id, service
					}
				}
			case 4:
				change = s.Apply(time.Unix(1, 0), &ads.Update{Type: ads.Cluster, Removed: []string{c}})
				delete(serviceOf, c)
				delete(activeEndpoint, c)
				delete(activeService, c)
			}
			for service := range latestEndpoint {
				if !subscribed()[service] {
					delete(latestEndpoint, service)
				}
			}
			got := map[string]string{}
			for name, v := range s.Clusters() {
				got[name] = v.Endpoints[0].ID
			}
			if !maps.Equal(got, activeEndpoint) {
				t.Fatalf("got endpoints in force %v, want %v", got, activeEndpoint)
			}
			if want := slices.Sorted(maps.Keys(subscribed())); !slices.Equal(s.Subscriptions(ads.Endpoint), want) {
				t.Fatalf("got subscriptions to %v, want %v", s.Subscriptions(ads.Endpoint), want)
			}
			if len(s.endpoints) > len(latestEndpoint) {
				t.Fatalf("got stored endpoints %v, want only those of %v", s.endpoints, latestEndpoint)
			}
			for _, v := range change.Clusters {
				if activeEndpoint[v.Name] != v.Endpoints[0].ID {
					t.Fatalf("got change of cluster %s with endpoint %s, which is not the one in use", v.Name, v.Endpoints[0].ID)
				}
			}
		}
	})
}

// TestWhichRoutes checks that routes are selected by a listener's route name, inline, and as the only ones there are,
// and that the routes in force stay until the next ones have come.
func TestWhichRoutes(t *testing.T) {
	at := time.Unix(1, 0)
	s := New(Options{Listener: "l", RoutedClustersOnly: true})
	if got := s.Subscriptions(ads.Listener); !slices.Equal(got, []string{"l"}) {
		t.Errorf("got subscriptions to listeners %v, want l", got)
	}
	one, two, inline := routesTo("a"), routesTo("b", "c"), routesTo("d")
	s.Apply(at, acceptedUpdate(ads.Listener, "l", &translate.Listener{RouteName: "one"}))
	if got := s.Subscriptions(ads.Route); !slices.Equal(got, []string{"one"}) || s.Routes() != nil {
		t.Errorf("got subscriptions to %v and routes %v, want one and no routes", got, s.Routes())
	}
	c := s.Apply(at, acceptedUpdate(ads.Route, "one", one))
	if !c.Full || s.Routes() != one || !slices.Equal(s.Subscriptions(ads.Cluster), []string{"a"}) {
		t.Errorf("got change %+v and subscriptions to clusters %v, want a full change and a", c, s.Subscriptions(ads.Cluster))
	}
	c = s.Apply(at, acceptedUpdate(ads.Listener, "l", &translate.Listener{RouteName: "two"}))
	if c.Full || !c.SubscriptionsChanged || s.Routes() != one {
		t.Errorf("got change %+v, want the old routes in force until the new ones have come", c)
	}
	s.Apply(at, acceptedUpdate(ads.Route, "two", two))
	if s.Routes() != two || !slices.Equal(s.Subscriptions(ads.Cluster), []string{"b", "c"}) {
		t.Error("the new routes are not in force, or their clusters not subscribed to")
	}
	for _, name := range []string{"b", "c"} {
		static := &translate.ClusterResource{Name: name, StaticAssignment: newAssignment("", cluster.Endpoint{ID: "e"})}
		s.Apply(at, acceptedUpdate(ads.Cluster, name, static))
	}
	s.Apply(at, acceptedUpdate(ads.Listener, "l", &translate.Listener{InlineRoutes: inline}))
	if len(s.clusters)+len(s.routes)+len(s.Clusters()) != 0 {
		t.Errorf("got clusters %v and routes %v, want none that no route refers to", s.clusters, s.routes)
	}
	if s.Routes() != inline {
		t.Error("the inline routes are not in force")
	}
	if c := s.Apply(at, &ads.Update{Type: ads.Listener, Removed: []string{"l"}}); !c.Full || s.Routes() != nil {
		t.Error("the routes of a removed listener are still in force")
	}
	only := New(Options{})
	if only.Apply(at, acceptedUpdate(ads.Route, "x", one)); only.Routes() != one {
		t.Error("the only route configuration is not in force")
	}
}

// TestStarts checks that an endpoint that is new beside others, or healthy again, counts as started at the update, and
// that no endpoint does if all are replaced.
func TestStarts(t *testing.T) {
	const bad = cluster.Unhealthy
	at := time.UnixMilli(5000)
	first := []cluster.Endpoint{{ID: "a"}, {ID: "b", Health: bad}, {ID: "c", StartedMs: 0}, {ID: "d"}}
	for name, c := range map[string]struct {
		next []cluster.Endpoint
		want map[string]int64
	}{
		"new, healthy again, unchanged": {
			[]cluster.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "e"}},
			map[string]int64{"a": 0, "b": 5000, "c": 0, "e": 5000},
		},
		"new address": {
			[]cluster.Endpoint{{ID: "a", Address: "elsewhere:80"}, {ID: "c"}},
			map[string]int64{"a": 5000, "c": 0},
		},
		"still unhealthy": {[]cluster.Endpoint{{ID: "a"}, {ID: "b", Health: bad}}, map[string]int64{"a": 0, "b": 0}},
		"all replaced":    {[]cluster.Endpoint{{ID: "x"}, {ID: "y"}}, map[string]int64{"x": 0, "y": 0}},
	} {
		s := New(Options{})
		s.Apply(at, edsClusterUpdate("c", "s"))
		s.Apply(time.UnixMilli(1000), acceptedUpdate(ads.Endpoint, "s", newAssignment("s", slices.Clone(first)...)))
		s.Apply(at, acceptedUpdate(ads.Endpoint, "s", newAssignment("s", c.next...)))
		got := map[string]int64{}
		for _, e := range s.Clusters()["c"].Endpoints {
			got[e.ID] = e.StartedMs
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: got start times %v, want %v", name, got, c.want)
		}
	}
}

// TestEndpointsMissing checks that if the endpoints of clusters do not exist, a new cluster has no endpoints and a
// cluster that uses its former endpoints keeps them, and that endpoints that the control plane removes by name are
// removed.
func TestEndpointsMissing(t *testing.T) {
	at := time.Unix(1, 0)
	s := New(Options{})
	s.Apply(at, edsClusterUpdate("new", "s1"))
	s.Apply(at, edsClusterUpdate("old", "s2"))
	s.Apply(at, acceptedUpdate(ads.Endpoint, "s2", newAssignment("s2", cluster.Endpoint{ID: "e"})))
	s.Apply(at, edsClusterUpdate("old", "s3"))
	if got := s.Pending(); !slices.Equal(got, []string{"new"}) {
		t.Errorf("got pending clusters %v, want new", got)
	}
	s.Apply(at, &ads.Update{Type: ads.Endpoint, Missing: []string{"s1", "s3"}})
	all := s.Clusters()
	if all["new"] == nil || len(all["new"].Endpoints) != 0 || len(all["old"].Endpoints) != 1 {
		t.Errorf("got clusters %+v, want new without endpoints and old with one", all)
	}
	s.Apply(at, &ads.Update{Type: ads.Endpoint, Removed: []string{"s2"}})
	if n := len(s.Clusters()["old"].Endpoints); n != 0 {
		t.Errorf("got %d endpoints after their removal, want 0", n)
	}
}
