// Package cluster holds what is known of clusters and their endpoints as immutable
// versions, checks them, and tells the difference between two. It is pure: it reads no
// file and no clock. Files, the platform's list and control planes all feed it.
package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The bounds of a version.
const (
	MaxClusters  = 1000
	MaxEndpoints = 20000 // in one cluster
	MaxNameBytes = 128   // bytes of a name or an id
	MaxWeight    = 1e6
	MaxPriority  = 15
	MaxDrops     = 16 // categories of a cluster
)

// Health is what a source says of an endpoint.
type Health uint8

// The healths of an endpoint.
const (
	Healthy   Health = iota
	Draining         // finishes what it has, wants nothing new
	Unhealthy        // wants nothing new
	Degraded         // serves where the healthy ones are not enough
)

var healths = []string{"healthy", "draining", "unhealthy", "degraded"}

// String gives the word for a health.
func (h Health) String() string { return healths[h] }

// ParseHealth reads the word for a health; "" is healthy.
func ParseHealth(word string) (Health, error) {
	if word == "" {
		return Healthy, nil
	}
	if i := slices.Index(healths, word); i >= 0 {
		return Health(i), nil
	}
	return 0, fmt.Errorf("%q is none of %s", word, strings.Join(healths, ", "))
}

// Endpoint is a server of a cluster.
type Endpoint struct {
	ID        string
	Address   string // host:port
	Zone      string
	Cell      int     // a group of servers within a zone; 0 or more
	Weight    float64 // rough size, above 0 up to MaxWeight; 0: unknown
	Health    Health
	StartedMs int64 // when it last started, Unix milliseconds; 0: long ago
	// Priority is from 0, the first to be used, to MaxPriority.
	Priority int
}

// Serves tells whether something new may go to the endpoint.
func (e *Endpoint) Serves() bool { return e.Health == Healthy || e.Health == Degraded }

// Key is the same at every node for the same process at the same place. An endpoint
// that changes its address under the same id gets another one, so that nothing learnt
// or opened for the former process is taken for the new one's.
func (e *Endpoint) Key() uint64 {
	h := fnv.New64a()
	io.WriteString(h, e.ID)
	h.Write([]byte{0})
	io.WriteString(h, e.Address)
	return h.Sum64()
}

// Config is one version of a cluster. It is not changed once it is in a Version.
type Config struct {
	Name      string
	Endpoints []Endpoint // by id
	// AllowEmpty says that having no endpoints is meant.
	AllowEmpty bool
	// ShrinkTo says that so many endpoints are meant, however many they were; -1: nothing said.
	ShrinkTo int
	// Source names where the cluster comes from, for messages.
	Source    string
	Transport Transport
	Limits
}

// Transport is how the servers of a cluster are spoken to. The zero value is HTTP/1.1 in
// clear text.
type Transport struct {
	HTTP2 bool
	TLS   *TLS // nil: clear text
}

// TLS is what is wanted of the servers, by names of entries in the program's keys.
type TLS struct {
	ServerName  string   // that their certificates are for; "": the address's host
	Roots       string   // "": the system's
	Certificate string   // that is shown to them; "": none
	Pins        []string // SHA-256 of keys in base 64, one of which the chain has to have; nil: any
}

// Limits are what a cluster's requests are held to, beside the program's own limits. The
// zero value holds them to nothing.
type Limits struct {
	ConnectTimeout time.Duration // 0: the program's
	MaxConnections int           // to all servers of a priority; 0: the program's
	MaxRequests    int           // open at once; 0: no limit
	MaxRetries     int           // second and later attempts out at once; 0: no limit
	// OverprovisioningFactor is how much of a priority's load the healthy part of it is taken to
	// bear: 1.4 keeps all of the load on a priority of which 72 % are healthy. 0: 1.4.
	OverprovisioningFactor float64
	Drops                  []Drop
}

// Drop is a share of the requests that is refused.
type Drop struct {
	Category string
	Fraction float64 // 0 to 1
}

// Version is all clusters at one time. It is not changed once it is in use.
type Version struct {
	Number   uint64
	Clusters map[string]*Config
}

// Problem is something that a version or a file can't be taken with.
type Problem struct {
	Source string // the file; "" if none
	Line   int    // from 1; 0: the whole file
	Field  string // what it is about; may be ""
	Text   string
}

// Error gives file:line: field: text.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.Source != "" {
		b.WriteString(p.Source)
		if p.Line > 0 {
			b.WriteString(":" + strconv.Itoa(p.Line))
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Locator gives the line of a field of the endpoint with an index, of the endpoint
// itself where the field is "", and of the cluster's own fields for an index below 0.
type Locator func(index int, field string) int

// Check gives what is wrong with a cluster, nil if nothing is. It sorts the endpoints
// by id.
func (c *Config) Check(at Locator) error {
	var found []error
	report := func(i int, field, format string, args ...any) {
		p := &Problem{Source: c.Source, Field: field, Text: fmt.Sprintf(format, args...)}
		if at != nil {
			p.Line = at(i, field)
		}
		if i >= 0 {
			p.Field = fmt.Sprintf("endpoint %d", i+1)
			if id := c.Endpoints[i].ID; id != "" && len(id) <= MaxNameBytes {
				p.Field += fmt.Sprintf(" (%s)", id)
			}
			if field != "" {
				p.Field += ": " + field
			}
		}
		found = append(found, p)
	}
	if err := checkName(c.Name); err != nil {
		report(-1, "name", "%v", err)
	}
	switch n := len(c.Endpoints); {
	case n > MaxEndpoints:
		report(-1, "", "%d endpoints; %d at most", n, MaxEndpoints)
		return errors.Join(found...)
	case n == 0 && !c.AllowEmpty:
		report(-1, "", "names no servers; if that is meant, say no_servers = \"on purpose\" in [cluster]")
	case n > 0 && c.AllowEmpty:
		report(-1, "no_servers", "%d servers are named all the same", n)
	}
	if c.ShrinkTo >= 0 && c.ShrinkTo != len(c.Endpoints) {
		report(-1, "shrink_to", "says %d servers, %d are named", c.ShrinkTo, len(c.Endpoints))
	}
	ids, addresses := map[string]int{}, map[string]int{}
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		if len(found) >= 20 { // enough to mend at a time
			break
		}
		if err := checkName(e.ID); err != nil {
			report(i, "id", "%v", err)
		} else if first, twice := ids[e.ID]; twice {
			report(i, "id", "is endpoint %d's too", first+1)
		} else {
			ids[e.ID] = i
		}
		if err := checkAddress(e.Address); err != nil {
			report(i, "address", "%v", err)
		} else if first, twice := addresses[e.Address]; twice {
			report(i, "address", "%s is endpoint %d's too", e.Address, first+1)
		} else {
			addresses[e.Address] = i
		}
		if math.IsNaN(e.Weight) || e.Weight < 0 || e.Weight > MaxWeight {
			report(i, "weight", "%v is not from 0 to %g", e.Weight, MaxWeight)
		}
		if e.Cell < 0 {
			report(i, "cell", "%d is negative", e.Cell)
		}
		if len(e.Zone) > MaxNameBytes {
			report(i, "zone", "is longer than %d bytes", MaxNameBytes)
		}
		if e.Priority < 0 || e.Priority > MaxPriority {
			report(i, "priority", "%d is not from 0 to %d", e.Priority, MaxPriority)
		}
		if e.StartedMs < 0 {
			report(i, "started_ms", "%d is negative", e.StartedMs)
		}
	}
	for i, d := range c.Drops {
		if i >= MaxDrops {
			report(-1, "drops", "%d categories; %d at most", len(c.Drops), MaxDrops)
			break
		}
		if math.IsNaN(d.Fraction) || d.Fraction < 0 || d.Fraction > 1 {
			report(-1, "drops", "%s: %v is not from 0 to 1", d.Category, d.Fraction)
		}
	}
	if len(found) > 0 {
		return errors.Join(found...)
	}
	slices.SortFunc(c.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return nil
}

func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("is missing")
	case len(name) > MaxNameBytes:
		return fmt.Errorf("is longer than %d bytes", MaxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f || r == 0xfffd {
			return fmt.Errorf("%q has a character that a name may not have", name)
		}
	}
	return nil
}

func checkAddress(address string) error {
	if address == "" {
		return errors.New("is missing")
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no host:port", address)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("%q: the port is not from 1 to 65535", address)
	}
	if host == "" || len(host) > 253 || strings.ContainsAny(host, " \t/%") {
		return fmt.Errorf("%q has no host that can be called", address)
	}
	return nil
}

// EndpointChange is an endpoint before and after.
type EndpointChange struct{ Old, New Endpoint }

// Difference is what lies between two versions of a cluster.
type Difference struct {
	Added    []Endpoint
	Replaced []EndpointChange // another address or start under the same id: another process
	Changed  []EndpointChange // weight, zone or cell, or healthy again
	Draining []Endpoint       // those that want nothing new since
	Removed  []Endpoint
}

// Empty tells that nothing differs.
func (d *Difference) Empty() bool {
	return len(d.Added)+len(d.Replaced)+len(d.Changed)+len(d.Draining)+len(d.Removed) == 0
}

// Diff gives the difference between two versions of a cluster whose endpoints are
// sorted, as Check leaves them; nil stands for a cluster with none. Its cost is one
// pass over both, with memory for what differs only.
func Diff(before, after *Config) Difference {
	var d Difference
	var a, b []Endpoint
	if before != nil {
		a = before.Endpoints
	}
	if after != nil {
		b = after.Endpoints
	}
	if len(a) > 0 && len(a) == len(b) && &a[0] == &b[0] {
		return d // the same version
	}
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case j == len(b) || i < len(a) && a[i].ID < b[j].ID:
			d.Removed = append(d.Removed, a[i])
			i++
		case i == len(a) || b[j].ID < a[i].ID:
			d.Added = append(d.Added, b[j])
			j++
		default:
			x, y := &a[i], &b[j]
			switch {
			case x.Address != y.Address || x.StartedMs != y.StartedMs:
				d.Replaced = append(d.Replaced, EndpointChange{*x, *y})
			case !y.Serves() && x.Serves():
				d.Draining = append(d.Draining, *y)
			case *x != *y:
				d.Changed = append(d.Changed, EndpointChange{*x, *y})
			}
			i++
			j++
		}
	}
	return d
}

// CheckRemovals holds a version against the one in force: one that takes away more than
// maxShare (0 to 1) of a cluster's endpoints at once, by removal or by drain, is not to
// be taken unless the cluster says by ShrinkTo or Empty that it is meant. A single
// endpoint may always go, unless it is the last.
func CheckRemovals(inForce, candidate *Version, maxShare float64) error {
	if inForce == nil {
		return nil
	}
	var found []error
	for _, name := range slices.Sorted(maps.Keys(inForce.Clusters)) {
		before, after := inForce.Clusters[name], candidate.Clusters[name]
		if before == after {
			continue
		}
		if after != nil && (after.AllowEmpty || after.ShrinkTo == len(after.Endpoints)) {
			continue
		}
		had, has := before.healthy(), 0
		if after != nil {
			has = after.healthy()
		}
		d := Diff(before, after)
		lost := len(d.Draining)
		for i := range d.Removed {
			if d.Removed[i].Serves() {
				lost++
			}
		}
		if lost == 0 || (lost == 1 && has > 0) || float64(lost) <= maxShare*float64(had) {
			continue
		}
		p := &Problem{Source: before.Source, Text: fmt.Sprintf(
			"cluster %s: %d of %d servers would go at once, more than %g of them", name, lost, had, maxShare)}
		if after == nil {
			p.Text += "; to remove a cluster, first say no_servers = \"on purpose\" in [cluster]"
		} else {
			p.Source = after.Source
			p.Text += fmt.Sprintf("; if that is meant, say shrink_to = %d in [cluster]", len(after.Endpoints))
		}
		found = append(found, p)
	}
	return errors.Join(found...)
}

func (c *Config) healthy() (n int) {
	for i := range c.Endpoints {
		if c.Endpoints[i].Serves() {
			n++
		}
	}
	return n
}
