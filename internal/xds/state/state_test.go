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

func ends(service string, list ...cluster.Endpoint) *translate.Assignment {
	a := &translate.Assignment{Name: service, Endpoints: list}
	for i := range list {
		if list[i].Address == "" {
			list[i].Address = list[i].ID + ":80"
		}
	}
	return a
}

func set(t ads.Type, name string, v any) *ads.Update {
	return &ads.Update{Type: t, Accepted: []ads.ValidResource{{Name: name, Value: v}}}
}

func eds(name, service string) *ads.Update {
	return set(ads.Cluster, name, &translate.ClusterResource{Name: name, EDSServiceName: service})
}

func to(clusters ...string) *translate.Routes {
	r := &translate.Routes{Hosts: []route.VirtualHost{{Domains: []string{"*"}}}}
	for _, c := range clusters {
		r.Hosts[0].Routes = append(r.Hosts[0].Routes, route.Route{Path: "/", Clusters: []route.WeightedCluster{{Cluster: c}}})
	}
	r.Table, _ = route.Compile(r.Hosts)
	return r
}

// Whatever comes in whatever order: a cluster uses the newest endpoints of its EDS service name; until those have come,
// those that it used before; the service names subscribed to are those that clusters refer to or use, and nothing is
// stored of others.
func TestMakeBeforeBreak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{})
		named := map[string]string{}   // cluster to service
		latest := map[string]string{}  // service to the id of its one endpoint, while asked for
		serves := map[string]string{}  // cluster to the id that it serves by
		serving := map[string]string{} // cluster to that id's service
		asked := func() map[string]bool {
			all := map[string]bool{}
			for _, by := range []map[string]string{named, serving} {
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
				change = s.Apply(time.Unix(1, 0), eds(c, service))
				if named[c] = service; latest[service] != "" {
					serves[c], serving[c] = latest[service], service
				}
			case 2, 3:
				id := fmt.Sprint("e", i)
				change = s.Apply(time.Unix(1, 0), set(ads.Endpoint, service, ends(service, cluster.Endpoint{ID: id})))
				if asked()[service] {
					latest[service] = id
				}
				for c := range named {
					if named[c] == service || serving[c] == service {
						serves[c], serving[c] = id, service
					}
				}
			case 4:
				change = s.Apply(time.Unix(1, 0), &ads.Update{Type: ads.Cluster, Removed: []string{c}})
				delete(named, c)
				delete(serves, c)
				delete(serving, c)
			}
			for service := range latest {
				if !asked()[service] {
					delete(latest, service)
				}
			}
			got := map[string]string{}
			for name, v := range s.Clusters() {
				got[name] = v.Endpoints[0].ID
			}
			if !maps.Equal(got, serves) {
				t.Fatalf("in force %v, want %v", got, serves)
			}
			if want := slices.Sorted(maps.Keys(asked())); !slices.Equal(s.Subscriptions(ads.Endpoint), want) {
				t.Fatalf("asks for %v, want %v", s.Subscriptions(ads.Endpoint), want)
			}
			if len(s.endpoints) > len(latest) {
				t.Fatalf("remembers %v, needs %v", s.endpoints, latest)
			}
			for _, v := range change.Clusters {
				if serves[v.Name] != v.Endpoints[0].ID {
					t.Fatalf("tells of %s by %s", v.Name, v.Endpoints[0].ID)
				}
			}
		}
	})
}

// Routes by name, by a listener and inline; the present ones stay until the next have come.
func TestWhichRoutes(t *testing.T) {
	at := time.Unix(1, 0)
	s := New(Options{Listener: "l", RoutedClustersOnly: true})
	if got := s.Subscriptions(ads.Listener); !slices.Equal(got, []string{"l"}) {
		t.Errorf("wants %v", got)
	}
	one, two, inline := to("a"), to("b", "c"), to("d")
	s.Apply(at, set(ads.Listener, "l", &translate.Listener{RouteName: "one"}))
	if got := s.Subscriptions(ads.Route); !slices.Equal(got, []string{"one"}) || s.Routes() != nil {
		t.Errorf("wants %v, has %v", got, s.Routes())
	}
	c := s.Apply(at, set(ads.Route, "one", one))
	if !c.Full || s.Routes() != one || !slices.Equal(s.Subscriptions(ads.Cluster), []string{"a"}) {
		t.Errorf("%+v, wants %v", c, s.Subscriptions(ads.Cluster))
	}
	c = s.Apply(at, set(ads.Listener, "l", &translate.Listener{RouteName: "two"}))
	if c.Full || !c.SubscriptionsChanged || s.Routes() != one {
		t.Errorf("the old routes are gone before the new ones came: %+v", c)
	}
	s.Apply(at, set(ads.Route, "two", two))
	if s.Routes() != two || !slices.Equal(s.Subscriptions(ads.Cluster), []string{"b", "c"}) {
		t.Error("the new routes are not in force")
	}
	for _, name := range []string{"b", "c"} {
		static := &translate.ClusterResource{Name: name, StaticAssignment: ends("", cluster.Endpoint{ID: "e"})}
		s.Apply(at, set(ads.Cluster, name, static))
	}
	s.Apply(at, set(ads.Listener, "l", &translate.Listener{InlineRoutes: inline}))
	if len(s.clusters)+len(s.routes)+len(s.Clusters()) != 0 {
		t.Errorf("what no route leads to is remembered: %v, %v", s.clusters, s.routes)
	}
	if s.Routes() != inline {
		t.Error("the inline routes are not in force")
	}
	if c := s.Apply(at, &ads.Update{Type: ads.Listener, Removed: []string{"l"}}); !c.Full || s.Routes() != nil {
		t.Error("a listener that was taken away still routes")
	}
	only := New(Options{})
	if only.Apply(at, set(ads.Route, "x", one)); only.Routes() != one {
		t.Error("the only routes there are are not followed")
	}
}

// An endpoint that is new beside others, or healthy again, counts as started at the update; in a replacement of all of
// them none does.
func TestStarts(t *testing.T) {
	const bad = cluster.Unhealthy
	at := time.UnixMilli(5000)
	first := []cluster.Endpoint{{ID: "a"}, {ID: "b", Health: bad}, {ID: "c", StartedMs: 0}, {ID: "d"}}
	for name, c := range map[string]struct {
		next []cluster.Endpoint
		want map[string]int64
	}{
		"joined, back, stayed": {
			[]cluster.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "e"}},
			map[string]int64{"a": 0, "b": 5000, "c": 0, "e": 5000},
		},
		"moved": {
			[]cluster.Endpoint{{ID: "a", Address: "elsewhere:80"}, {ID: "c"}},
			map[string]int64{"a": 5000, "c": 0},
		},
		"still unhealthy": {[]cluster.Endpoint{{ID: "a"}, {ID: "b", Health: bad}}, map[string]int64{"a": 0, "b": 0}},
		"all others":      {[]cluster.Endpoint{{ID: "x"}, {ID: "y"}}, map[string]int64{"x": 0, "y": 0}},
	} {
		s := New(Options{})
		s.Apply(at, eds("c", "s"))
		s.Apply(time.UnixMilli(1000), set(ads.Endpoint, "s", ends("s", slices.Clone(first)...)))
		s.Apply(at, set(ads.Endpoint, "s", ends("s", c.next...)))
		got := map[string]int64{}
		for _, e := range s.Clusters()["c"].Endpoints {
			got[e.ID] = e.StartedMs
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Endpoints that do not exist: a new cluster has none; one that uses its former ones continues. Endpoints that the
// control plane removes by name are removed.
func TestEndpointsMissing(t *testing.T) {
	at := time.Unix(1, 0)
	s := New(Options{})
	s.Apply(at, eds("new", "s1"))
	s.Apply(at, eds("old", "s2"))
	s.Apply(at, set(ads.Endpoint, "s2", ends("s2", cluster.Endpoint{ID: "e"})))
	s.Apply(at, eds("old", "s3"))
	if got := s.Pending(); !slices.Equal(got, []string{"new"}) {
		t.Errorf("pending %v", got)
	}
	s.Apply(at, &ads.Update{Type: ads.Endpoint, Missing: []string{"s1", "s3"}})
	all := s.Clusters()
	if all["new"] == nil || len(all["new"].Endpoints) != 0 || len(all["old"].Endpoints) != 1 {
		t.Errorf("%+v", all)
	}
	s.Apply(at, &ads.Update{Type: ads.Endpoint, Removed: []string{"s2"}})
	if n := len(s.Clusters()["old"].Endpoints); n != 0 {
		t.Errorf("%d endpoints that were taken away", n)
	}
}
