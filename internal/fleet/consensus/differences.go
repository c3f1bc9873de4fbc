package consensus

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/route"
	"yokestall/policy"
)

// Difference is a difference between two versions.
type Difference struct {
	Kind        Kind
	Name        string // name of the class, host or cluster, cluster/id of the endpoint, or name of the settings
	From, To    string // values in the two versions; both are empty if the class exists in only one of them
	Contradicts bool
}

// String formats the difference for operators.
func (d Difference) String() string {
	s := fmt.Sprintf("%s: %s", DifferenceTable()[d.Kind].Description, d.Name)
	if d.From != "" || d.To != "" {
		s += fmt.Sprintf(": %s to %s", d.From, d.To)
	}
	return s
}

// Contradicts reports whether any of the differences makes the two versions contradict each other.
func Contradicts(list []Difference) bool {
	return slices.ContainsFunc(list, func(d Difference) bool { return d.Contradicts })
}

// Differences returns the differences between the version that nodes act on and the version that is to follow it,
// sorted by kind and then by name. The order of the versions matters: taking an endpoint out of use contradicts, putting
// one back doesn't.
func Differences(from, to *Version) []Difference {
	d := &differ{table: DifferenceTable()}
	if from.Program != to.Program {
		d.compareClasses(from.Program, to.Program)
		d.compareFleet(from.Program, to.Program)
		d.compareRoutes(from.Program, to.Program)
	}
	d.compareClusters(from.Clusters, to.Clusters)
	slices.SortStableFunc(d.list, func(x, y Difference) int {
		if x.Kind != y.Kind {
			return int(x.Kind) - int(y.Kind)
		}
		return strings.Compare(x.Name, y.Name)
	})
	return d.list
}

// differ collects the differences between two versions.
type differ struct {
	table []TableRow // by kind
	list  []Difference
}

// compare adds a difference if the two values differ.
func (d *differ) compare(k Kind, name string, from, to any) {
	if !reflect.DeepEqual(from, to) {
		d.add(k, name, fmt.Sprint(from), fmt.Sprint(to))
	}
}

// add adds a difference. The table says whether its kind contradicts.
func (d *differ) add(k Kind, name, from, to string) {
	d.list = append(d.list, Difference{Kind: k, Name: name, From: from, To: to, Contradicts: d.table[k].Contradicts})
}

// compareClasses compares classes of the same name, and the tenants' quotas.
func (d *differ) compareClasses(from, to *config.Program) {
	for i := range from.Classes {
		a := from.Classes[i]
		at := to.Class(a.Name)
		if at < 0 {
			d.add(ClassRemoved, a.Name, "", "")
			continue
		}
		b := to.Classes[at]
		d.compare(ClassIdempotency, a.Name, effectName(a.Idempotency), effectName(b.Idempotency))
		if a.Idempotency == policy.IdempotentByKey && b.Idempotency == policy.IdempotentByKey {
			d.compare(ClassDedupScope, a.Name, a.DedupScope, b.DedupScope)
			d.compare(ClassDedupWindow, a.Name, a.DedupWindow, b.DedupWindow)
		}
		a.Idempotency, a.DedupScope, a.DedupWindow = b.Idempotency, b.DedupScope, b.DedupWindow
		d.compare(ClassOtherSettings, a.Name, a, b)
	}
	for i := range to.Classes {
		if name := to.Classes[i].Name; from.Class(name) < 0 {
			d.add(ClassAdded, name, "", "")
		}
	}
	d.compare(TenantQuota, "tenants", from.Tenants, to.Tenants)
}

// effectName returns the word that configuration files use for an idempotency.
func effectName(e policy.Idempotency) string { return [...]string{"safe", "keyed", "unsafe"}[e] }

// compareFleet compares the limits, the number of nodes and the slow-start rules, which apply to the whole fleet.
func (d *differ) compareFleet(from, to *config.Program) {
	d.compare(AttemptLimits, "limits", from.Limits, to.Limits)
	d.compare(NodeCount, "fleet", from.Nodes, to.Nodes)
	d.compare(SlowStartRules, "fleet", from.Rules, to.Rules)
}

// compareRoutes compares the routes of hosts with the same domains. Of a host that changed, all routes from the first
// different one on count as changed, since the first route that matches a request is taken.
func (d *differ) compareRoutes(from, to *config.Program) {
	differingRoutes(from, to, func(host string, a, b []route.Route, same int) {
		kind := IdempotentRoute
		if anyNotIdempotent(from, a) || anyNotIdempotent(to, b) {
			kind = NonIdempotentRoute
		}
		d.add(kind, host,
			fmt.Sprint(same+len(a), " routes"), fmt.Sprintf("%d routes, which differ from route %d on", same+len(b), same+1))
	})
}

// anyNotIdempotent reports whether any of the routes leads to a class that is not idempotent, or only by key.
func anyNotIdempotent(p *config.Program, routes []route.Route) bool {
	return slices.ContainsFunc(routes, func(r route.Route) bool { return isNotIdempotent(p, r.Class) })
}

// isNotIdempotent reports whether a program has a class of this name that is not idempotent, or only by key.
func isNotIdempotent(p *config.Program, class string) bool {
	at := p.Class(class)
	return at >= 0 && p.Classes[at].Idempotency != policy.Idempotent
}

// compareClusters compares clusters of the same name. A missing cluster counts as a cluster without endpoints.
func (d *differ) compareClusters(from, to map[string]*cluster.Config) {
	for name, a := range from {
		b := to[name]
		if a == b {
			continue
		}
		if b == nil {
			b = &cluster.Config{Name: name, Transport: a.Transport, Limits: a.Limits}
		}
		d.compareEndpoints(name, a.Endpoints, b.Endpoints)
		d.compare(EndpointWeight, name, a.Limits, b.Limits)
	}
	for name, b := range to {
		if from[name] == nil {
			d.compareEndpoints(name, nil, b.Endpoints)
		}
	}
}

// compareEndpoints compares a cluster's endpoints by id. An endpoint that is out of use in both versions doesn't differ.
func (d *differ) compareEndpoints(clusterName string, from, to []cluster.Endpoint) {
	forEachEndpointPair(from, to, func(a, b *cluster.Endpoint) {
		switch {
		case a == nil && b.Serves():
			d.compare(EndpointAdded, clusterName+"/"+b.ID, "none", b.Health.String())
			return
		case a == nil, b != nil && *a == *b, b == nil && !a.Serves(): // out of use in both versions, or unchanged
			return
		}
		name := clusterName + "/" + a.ID
		switch {
		case b == nil:
			d.compare(EndpointRemoved, name, a.Health.String(), "gone")
			return
		case a.Serves() && !b.Serves():
			d.compare(EndpointRemoved, name, a.Health.String(), b.Health.String())
			return
		case !a.Serves() && b.Serves():
			d.compare(EndpointAdded, name, a.Health.String(), b.Health.String())
			return
		case !a.Serves():
			return
		}
		d.compare(EndpointMoved, name, a.Address, b.Address)
		d.compare(EndpointStarted, name, a.StartedMs, b.StartedMs)
		d.compare(EndpointLocality, name, fmt.Sprint(a.Zone, " ", a.Cell), fmt.Sprint(b.Zone, " ", b.Cell))
		d.compare(EndpointWeight, name,
			fmt.Sprint(a.Weight, " ", a.Priority, " ", a.Health), fmt.Sprint(b.Weight, " ", b.Priority, " ", b.Health))
	})
}

// forEachEndpointPair calls do for each pair of endpoints with the same id in two lists; an endpoint that one list lacks
// is nil. The lists have to be sorted by id, as cluster.Config.Check requires.
func forEachEndpointPair(from, to []cluster.Endpoint, do func(a, b *cluster.Endpoint)) {
	for i, j := 0, 0; i < len(from) || j < len(to); {
		switch {
		case j == len(to) || i < len(from) && from[i].ID < to[j].ID:
			do(&from[i], nil)
			i++
		case i == len(from) || to[j].ID < from[i].ID:
			do(nil, &to[j])
			j++
		default:
			do(&from[i], &to[j])
			i++
			j++
		}
	}
}

// differingRoutes calls found for each host of either program whose routes differ, with the routes of both programs from
// the first difference on, and the number of equal routes before it.
func differingRoutes(from, to *config.Program, found func(host string, a, b []route.Route, same int)) {
	type host struct{ from, to []route.Route }
	hosts := map[string]*host{}
	at := func(h *route.VirtualHost) *host {
		names := slices.Clone(h.Domains)
		slices.Sort(names)
		key := strings.Join(names, " ")
		if hosts[key] == nil {
			hosts[key] = &host{}
		}
		return hosts[key]
	}
	for i := range from.Hosts {
		at(&from.Hosts[i]).from = from.Hosts[i].Routes
	}
	for i := range to.Hosts {
		at(&to.Hosts[i]).to = to.Hosts[i].Routes
	}
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		same := 0
		for same < min(len(h.from), len(h.to)) && reflect.DeepEqual(h.from[same], h.to[same]) {
			same++
		}
		if same < len(h.from) || same < len(h.to) {
			found(name, h.from[same:], h.to[same:], same)
		}
	}
}
