// Package consensus is the replicated state of a fleet: the log of its configuration versions, leases for acting on
// them, the ownership of singleton tasks, and the rules for which versions contradict each other. It does no I/O and
// reads no clock.
//
// Two versions contradict each other where a node that acts on one and a node that acts on the other could together
// break a rule that each of them keeps by itself. No two nodes may act on such versions at the same time. Other
// versions may coexist: each request is decided by one node, so what only affects how well it is served needs no
// agreement.
package consensus

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"yokestall/internal/cluster"
	"yokestall/internal/config"
	"yokestall/internal/route"
	"yokestall/policy"
)

// Version is a configuration version: the program's file without listeners, keys and paths, which each node has of
// its own, and the lists of servers.
type Version struct {
	Program  *config.Program
	Clusters map[string]*cluster.Cluster
}

// Kind is a kind of difference between two versions.
type Kind uint8

// The kinds, in the order of the table.
const (
	ClassEffect Kind = iota
	ClassScope
	ClassWindow
	ClassService
	ClassAdded
	ClassRemoved
	TenantQuota
	Attempts
	Nodes
	Cold
	RouteOfKeys
	RouteOfSafe
	ServerRemoved
	ServerAdded
	ServerMoved
	ServerStarted
	ServerGroup
	ServerSize
	kinds
)

// Row is a row of the table of differences.
type Row struct {
	Kind        Kind
	What        string
	Contradicts bool
	Why         string
}

// Table says for each kind of difference whether it contradicts, and why. docs/agree.md shows it.
func Table() []Row {
	return []Row{
		{ClassEffect, "effect of a class", true, "rule 2: one node sends again what the other takes for unsafe"},
		{ClassScope, "scope of a keyed class", true, "rule 2: they differ on which servers drop a repeat"},
		{ClassWindow, "window of a keyed class", true, "rule 2: one sends again when the other's servers have forgotten the key"},
		{ClassService, "deadline, aim, worth or stream bounds of a class", false, "a request is decided by one node, within what its client was promised there"},
		{ClassAdded, "a class more", false, "who does not know it has no route to it"},
		{ClassRemoved, "a class less", false, "requests of it are refused by one node and served by the other"},
		{TenantQuota, "a tenant, or its quota", false, "the sum of the nodes' parts lies between both quotas"},
		{Attempts, "attempts, second copies, cancels, waits", false, "they are counted by request, at one node"},
		{Nodes, "number of nodes", true, "rule 4: parts of cold servers' budgets add up to more than the whole"},
		{Cold, "figures of cold servers", true, "rule 4: one node sends what the other's figures say pushes a server over"},
		{RouteOfKeys, "route of a class that is not safe", true, "rule 2: a key goes to servers that have not seen it, or to a class with another effect"},
		{RouteOfSafe, "route of a safe class", false, "what it reaches may run twice"},
		{ServerRemoved, "a server goes, drains or is not healthy", true, "rule 3: one node sends to it past the grace"},
		{ServerAdded, "a server comes, or comes back", false, "who does not know it sends nothing there"},
		{ServerMoved, "address of a server", true, "rule 3: at the old one is another process, or none"},
		{ServerStarted, "start of a server", true, "rule 4: who does not know of it sends as to a warm one"},
		{ServerGroup, "zone or cell of a server", true, "rule 2: they differ on which servers drop a repeat together"},
		{ServerSize, "weight or priority of a server, bounds of a cluster", false, "it says how well is chosen, not what may be"},
	}
}

// Difference is a difference between two versions.
type Difference struct {
	Kind        Kind
	Name        string // of the class, the route, the server
	From, To    string
	Contradicts bool
}

// String formats the difference for operators.
func (d Difference) String() string {
	s := fmt.Sprintf("%s: %s", Table()[d.Kind].What, d.Name)
	if d.From != "" || d.To != "" {
		s += fmt.Sprintf(": %s to %s", d.From, d.To)
	}
	return s
}

// Contradicts reports whether any of the differences contradicts.
func Contradicts(list []Difference) bool {
	return slices.ContainsFunc(list, func(d Difference) bool { return d.Contradicts })
}

// Differences returns what differs between the version that nodes act on and one that is to follow it, sorted by kind
// and then by name. It is directed: taking a server out contradicts, putting one back doesn't.
func Differences(from, to *Version) []Difference {
	d := &differ{table: Table()}
	if from.Program != to.Program {
		d.classes(from.Program, to.Program)
		d.fleet(from.Program, to.Program)
		d.routes(from.Program, to.Program)
	}
	d.clusters(from.Clusters, to.Clusters)
	slices.SortStableFunc(d.list, func(x, y Difference) int {
		if x.Kind != y.Kind {
			return int(x.Kind) - int(y.Kind)
		}
		return strings.Compare(x.Name, y.Name)
	})
	return d.list
}

type differ struct {
	table []Row
	list  []Difference
}

// note books a difference if there is one.
func (d *differ) note(k Kind, name string, from, to any) {
	if !reflect.DeepEqual(from, to) {
		d.list = append(d.list, Difference{k, name, fmt.Sprint(from), fmt.Sprint(to), d.table[k].Contradicts})
	}
}

func (d *differ) classes(from, to *config.Program) {
	for i := range from.Classes {
		a := from.Classes[i]
		at := to.Class(a.Name)
		if at < 0 {
			d.list = append(d.list, Difference{Kind: ClassRemoved, Name: a.Name, Contradicts: d.table[ClassRemoved].Contradicts})
			continue
		}
		b := to.Classes[at]
		d.note(ClassEffect, a.Name, effect(a.Idempotency), effect(b.Idempotency))
		if a.Idempotency == policy.IdempotentByKey && b.Idempotency == policy.IdempotentByKey {
			d.note(ClassScope, a.Name, a.DedupScope, b.DedupScope)
			d.note(ClassWindow, a.Name, a.DedupWindow, b.DedupWindow)
		}
		a.Idempotency, a.DedupScope, a.DedupWindow = b.Idempotency, b.DedupScope, b.DedupWindow
		d.note(ClassService, a.Name, a, b)
	}
	for i := range to.Classes {
		if name := to.Classes[i].Name; from.Class(name) < 0 {
			d.list = append(d.list, Difference{Kind: ClassAdded, Name: name, Contradicts: d.table[ClassAdded].Contradicts})
		}
	}
	d.note(TenantQuota, "tenants", from.Tenants, to.Tenants)
}

// effect is the word for an effect in configuration files.
func effect(e policy.Idempotency) string { return [...]string{"safe", "keyed", "unsafe"}[e] }

func (d *differ) fleet(from, to *config.Program) {
	d.note(Attempts, "limits", from.Limits, to.Limits)
	d.note(Nodes, "fleet", from.Nodes, to.Nodes)
	d.note(Cold, "fleet", from.Rules, to.Rules)
}

// routes compares hosts by their domains. Of a host that changed, all routes from the first different one on count,
// since the first route that matches a request is taken.
func (d *differ) routes(from, to *config.Program) {
	differingRoutes(from, to, func(host string, a, b []route.Route, same int) {
		kind := RouteOfSafe
		if anyUnsafe(from, a) || anyUnsafe(to, b) {
			kind = RouteOfKeys
		}
		d.list = append(d.list, Difference{kind, host, fmt.Sprint(same+len(a), " routes"), fmt.Sprintf("%d, from the %d. on others", same+len(b), same+1), d.table[kind].Contradicts})
	})
}

// anyUnsafe reports whether any of the routes leads to a class that is not safe.
func anyUnsafe(p *config.Program, routes []route.Route) bool {
	return slices.ContainsFunc(routes, func(r route.Route) bool { return isUnsafe(p, r.Class) })
}

// isUnsafe reports whether a program has a class that is not safe by a name.
func isUnsafe(p *config.Program, class string) bool {
	at := p.Class(class)
	return at >= 0 && p.Classes[at].Idempotency != policy.Idempotent
}

func (d *differ) clusters(from, to map[string]*cluster.Cluster) {
	for name, a := range from {
		b := to[name]
		if a == b {
			continue
		}
		if b == nil {
			b = &cluster.Cluster{Name: name, Transport: a.Transport, Bounds: a.Bounds}
		}
		d.servers(name, a.Endpoints, b.Endpoints)
		d.note(ServerSize, name, a.Bounds, b.Bounds)
	}
	for name, b := range to {
		if from[name] == nil {
			d.servers(name, nil, b.Endpoints)
		}
	}
}

func (d *differ) servers(in string, from, to []cluster.Endpoint) {
	walk(from, to, func(a, b *cluster.Endpoint) {
		switch {
		case a == nil && b.Serves():
			d.note(ServerAdded, in+"/"+b.ID, "none", b.Health.String())
			return
		case a == nil, b != nil && *a == *b, b == nil && !a.Serves(): // nothing was sent to it, or is to be
			return
		}
		name := in + "/" + a.ID
		switch {
		case b == nil:
			d.note(ServerRemoved, name, a.Health.String(), "gone")
			return
		case a.Serves() && !b.Serves():
			d.note(ServerRemoved, name, a.Health.String(), b.Health.String())
			return
		case !a.Serves() && b.Serves():
			d.note(ServerAdded, name, a.Health.String(), b.Health.String())
			return
		case !a.Serves():
			return
		}
		d.note(ServerMoved, name, a.Address, b.Address)
		d.note(ServerStarted, name, a.Started, b.Started)
		d.note(ServerGroup, name, fmt.Sprint(a.Zone, " ", a.Cell), fmt.Sprint(b.Zone, " ", b.Cell))
		d.note(ServerSize, name, fmt.Sprint(a.Weight, " ", a.Priority, " ", a.Health), fmt.Sprint(b.Weight, " ", b.Priority, " ", b.Health))
	})
}

// walk calls do for each pair of endpoints with the same id in two lists; nil where one list has none. The lists have
// to be sorted by id, as cluster.Cluster.Check requires.
func walk(from, to []cluster.Endpoint, do func(a, b *cluster.Endpoint)) {
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
