package config

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"yokestall/internal/cluster"
	"yokestall/internal/fleet/lease"
)

// Agree holds the settings of a node in a fleet whose nodes agree on configuration versions. The zero value means that the
// node is in no such fleet.
type Agree struct {
	Name         string // name of the fleet
	Node         string // name of this node
	Folder       string // directory of the node's fleet store, relative to the program's file
	Listen       string // host:port that serves other nodes; a voter requires it
	Voters       []Voter
	Roots        string // name of the root bundle that verifies other nodes; "": clear text, on loopback addresses only
	Certificate  string // name of the certificate that is presented to other nodes
	Lease        lease.Config
	Disconnected lease.DisconnectedPolicy
}

// Voter is a node that votes on versions. Address is the host:port at which it serves other nodes.
type Voter struct{ Name, Address string }

// On reports whether the node is in a fleet that agrees on versions.
func (a *Agree) On() bool { return a.Name != "" }

// agreeFile is the table [fleet.agree] as decoded from the program's file.
type agreeFile struct {
	Name        string   `toml:"name"`
	Node        string   `toml:"node"`
	Folder      string   `toml:"folder"`
	Listen      string   `toml:"listen"`
	Voters      []string `toml:"voters"`
	Roots       string   `toml:"roots"`
	Certificate string   `toml:"certificate"`
	Lease       Duration `toml:"lease"`
	Drift       float64  `toml:"drift"`
	Take        Duration `toml:"take"`
	Alone       struct {
		Effects string   `toml:"effects"`
		Routes  string   `toml:"routes"`
		Lists   string   `toml:"lists"`
		For     Duration `toml:"for"`
	} `toml:"alone"`
}

// setDefaults sets the values of the keys that the file may omit.
func (f *agreeFile) setDefaults() {
	f.Folder = "agree"
	f.Lease.Duration, f.Drift, f.Take.Duration = 1500*time.Millisecond, 0.05, 250*time.Millisecond
	f.Alone.Effects, f.Alone.Routes, f.Alone.Lists = "cautious", "cautious", "cautious"
}

const agreeTable = "fleet.agree"

// readAgree checks the table [fleet.agree] and sets p.Agree. If name, node and voters are all unset, the node is in no fleet
// that agrees on versions.
func (p *Program) readAgree(f *agreeFile, report reporter) {
	if f.Name == "" && f.Node == "" && len(f.Voters) == 0 {
		return
	}
	a := &p.Agree
	*a = Agree{Name: f.Name, Node: f.Node, Folder: f.Folder, Listen: f.Listen, Roots: f.Roots, Certificate: f.Certificate,
		Lease: lease.Config{Duration: f.Lease.Duration, MaxClockDrift: f.Drift, ApplyTimeout: f.Take.Duration}}
	for _, n := range []struct{ key, name string }{{"name", f.Name}, {"node", f.Node}} {
		if n.name == "" || len(n.name) > cluster.MaxNameBytes {
			report(agreeTable, -1, n.key, "length is not from 1 to %d bytes", cluster.MaxNameBytes)
		}
	}
	a.readVoters(f, report)
	if (f.Roots == "") != (f.Certificate == "") {
		report(agreeTable, -1, "roots", "roots and certificate must be set together")
	}
	if f.Roots != "" && p.Keys.Folder == "" {
		report(agreeTable, -1, "roots", "requires the folder in [keys]")
	}
	checkLease(f, report)
	a.readDisconnected(f, report)
	if p.XDS.On() {
		const text = "[xds] and [fleet.agree] both provide the configuration, so that only one of them may be set"
		report(agreeTable, -1, "", text)
	}
}

// readVoters reads the voters and checks the address at which this node serves other nodes. A voter must have one.
func (a *Agree) readVoters(f *agreeFile, report reporter) {
	if n := len(f.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
		report(agreeTable, -1, "voters", "%d voters are listed; the number must be 1, 3, 5 or 7", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, text := range f.Voters {
		name, address, ok := strings.Cut(text, "=")
		switch {
		case !ok || name == "" || len(name) > cluster.MaxNameBytes:
			report(agreeTable, -1, "voters", "%q is not NAME=HOST:PORT", text)
		case names[name] || addresses[address]:
			report(agreeTable, -1, "voters", "%q repeats the name or the address of another voter", text)
		default:
			if err := checkNodeAddress(address, f.Roots); err != nil {
				report(agreeTable, -1, "voters", "%q: %v", text, err)
			}
		}
		names[name], addresses[address] = true, true
		a.Voters = append(a.Voters, Voter{name, address})
	}
	if names[f.Node] && f.Listen == "" {
		report(agreeTable, -1, "listen", "is missing; a voter needs an address at which it serves other nodes")
	}
	if f.Listen != "" {
		if err := checkNodeAddress(f.Listen, f.Roots); err != nil {
			report(agreeTable, -1, "listen", "%q: %v", f.Listen, err)
		}
	}
}

// checkLease checks the lease's duration, the maximum clock drift and the timeout for applying a version.
func checkLease(f *agreeFile, report reporter) {
	if l := f.Lease.Duration; l < 100*time.Millisecond || l > time.Minute {
		report(agreeTable, -1, "lease", "%v is not from 100ms to 1m", l)
	}
	if d := f.Drift; math.IsNaN(d) || d < 0 || d > 0.25 {
		report(agreeTable, -1, "drift", "%v is not from 0 to 0.25", d)
	}
	if t := f.Take.Duration; t < time.Millisecond || t > time.Minute {
		report(agreeTable, -1, "take", "%v is not from 1ms to 1m", t)
	}
}

// readDisconnected reads the disconnected policy, which the node applies while it has no lease.
func (a *Agree) readDisconnected(f *agreeFile, report reporter) {
	if d := f.Alone.For.Duration; d < 0 {
		report(agreeTable, -1, "alone.for", "%v is negative", d)
	}
	a.Disconnected.MaxDuration = f.Alone.For.Duration
	for _, k := range []struct {
		key, word string
		to        *lease.DisconnectedAction
	}{
		{"effects", f.Alone.Effects, &a.Disconnected.Idempotency},
		{"routes", f.Alone.Routes, &a.Disconnected.Routes},
		{"lists", f.Alone.Lists, &a.Disconnected.Endpoints},
	} {
		var err error
		if *k.to, err = lease.ParseDisconnectedAction(k.word); err != nil {
			report(agreeTable+".alone", -1, k.key, "%v", err)
		}
	}
}

// checkNodeAddress checks a node's host:port. Without roots nodes are not authenticated, so that the host must be a loopback
// address.
func checkNodeAddress(address, roots string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return fmt.Errorf("is not host:port")
	}
	if ip := net.ParseIP(host); roots == "" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("host is not a loopback address (127.0.0.0/8, ::1), which is required without roots")
	}
	return nil
}

// Agreed returns a copy of the program with the settings that an agreed version v determines: classes, tenants, virtual hosts
// and their routes, limits, rules and the number of nodes. All other settings, such as listeners, keys, paths, connections,
// this node's number and its zone, remain the program's own. Agreed fails if this node's number, which counts from 0, is not
// below the version's number of nodes.
func (p *Program) Agreed(v *Program) (*Program, error) {
	if v.Nodes <= p.Node {
		return nil, fmt.Errorf("fleet: nodes is %d, but this node has the number %d, counted from 0", v.Nodes, p.Node)
	}
	out := *p
	out.Limits, out.Rules, out.Nodes = v.Limits, v.Rules, v.Nodes
	out.Classes, out.Tenants, out.Hosts, out.Table = v.Classes, v.Tenants, v.Hosts, v.Table
	return &out, nil
}
