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

// Agree is the settings of a node in a fleet that agrees on versions. The zero value is of a node in none.
type Agree struct {
	Name         string // the fleet's
	Node         string // this node's
	Folder       string // of its store; relative to the program's file
	Listen       string // host:port, for other nodes; "": it is no voter
	Voters       []Voter
	Roots        string // that other nodes' certificates are verified by; "": clear text, on loopback alone
	Certificate  string // the certificate for other nodes
	Lease        lease.Config
	Disconnected lease.DisconnectedPolicy
}

// Voter is a node that votes on versions, and its address for other nodes.
type Voter struct{ Name, Address string }

// On reports whether the node is in such a fleet.
func (a *Agree) On() bool { return a.Name != "" }

// agreeFile is Agree as written.
type agreeFile struct {
	Name   string   `toml:"name"`
	Node   string   `toml:"node"`
	Folder string   `toml:"folder"`
	Listen string   `toml:"listen"`
	Voters []string `toml:"voters"`
	Roots  string   `toml:"roots"`
	Shows  string   `toml:"certificate"`
	Lease  Duration `toml:"lease"`
	Drift  float64  `toml:"drift"`
	Take   Duration `toml:"take"`
	Alone  struct {
		Effects string   `toml:"effects"`
		Routes  string   `toml:"routes"`
		Lists   string   `toml:"lists"`
		For     Duration `toml:"for"`
	} `toml:"alone"`
}

// setDefaults sets the values of keys that the file may leave out.
func (f *agreeFile) setDefaults() {
	f.Folder = "agree"
	f.Lease.Duration, f.Drift, f.Take.Duration = 1500*time.Millisecond, 0.05, 250*time.Millisecond
	f.Alone.Effects, f.Alone.Routes, f.Alone.Lists = "cautious", "cautious", "cautious"
}

const agreeTable = "fleet.agree"

// readAgree reads the settings of the fleet that agrees on versions.
func (p *Program) readAgree(f *agreeFile, report reporter) {
	if f.Name == "" && f.Node == "" && len(f.Voters) == 0 {
		return
	}
	a := &p.Agree
	*a = Agree{Name: f.Name, Node: f.Node, Folder: f.Folder, Listen: f.Listen, Roots: f.Roots, Certificate: f.Shows,
		Lease: lease.Config{Duration: f.Lease.Duration, MaxClockDrift: f.Drift, ApplyTimeout: f.Take.Duration}}
	for _, n := range []struct{ key, name string }{{"name", f.Name}, {"node", f.Node}} {
		if n.name == "" || len(n.name) > cluster.MaxNameBytes {
			report(agreeTable, -1, n.key, "1 to %d bytes", cluster.MaxNameBytes)
		}
	}
	a.readVoters(f, report)
	if (f.Roots == "") != (f.Shows == "") {
		report(agreeTable, -1, "roots", "roots and certificate go together")
	}
	if f.Roots != "" && p.Keys.Folder == "" {
		report(agreeTable, -1, "roots", "the program has no [keys] folder")
	}
	checkLease(f, report)
	a.readDisconnected(f, report)
	if p.XDS.On() {
		const text = "a control plane and an agreed version would say the same things: one of [xds] and [fleet.agree]"
		report(agreeTable, -1, "", text)
	}
}

// readVoters reads the voters, and checks the address at which this node serves them if it is one.
func (a *Agree) readVoters(f *agreeFile, report reporter) {
	if n := len(f.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
		report(agreeTable, -1, "voters", "%d; 1, 3, 5 or 7 vote", n)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, text := range f.Voters {
		name, address, ok := strings.Cut(text, "=")
		switch {
		case !ok || name == "" || len(name) > cluster.MaxNameBytes:
			report(agreeTable, -1, "voters", "%q is not NAME=HOST:PORT", text)
		case names[name] || addresses[address]:
			report(agreeTable, -1, "voters", "%q is there twice", text)
		default:
			if err := checkNodeAddress(address, f.Roots); err != nil {
				report(agreeTable, -1, "voters", "%q: %v", text, err)
			}
		}
		names[name], addresses[address] = true, true
		a.Voters = append(a.Voters, Voter{name, address})
	}
	if names[f.Node] && f.Listen == "" {
		report(agreeTable, -1, "listen", "is missing: a voter is asked by others")
	}
	if f.Listen != "" {
		if err := checkNodeAddress(f.Listen, f.Roots); err != nil {
			report(agreeTable, -1, "listen", "%q: %v", f.Listen, err)
		}
	}
}

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

// readDisconnected reads what the node does without a lease.
func (a *Agree) readDisconnected(f *agreeFile, report reporter) {
	if d := f.Alone.For.Duration; d < 0 {
		report(agreeTable, -1, "alone.for", "%v is below 0", d)
	}
	a.Disconnected.MaxDuration = f.Alone.For.Duration
	for _, k := range []struct {
		key, word string
		to        *lease.DisconnectedAction
	}{
		{"effects", f.Alone.Effects, &a.Disconnected.Effects},
		{"routes", f.Alone.Routes, &a.Disconnected.Routes},
		{"lists", f.Alone.Lists, &a.Disconnected.Servers},
	} {
		var err error
		if *k.to, err = lease.ParseDisconnectedAction(k.word); err != nil {
			report(agreeTable+".alone", -1, k.key, "%v", err)
		}
	}
}

// checkNodeAddress checks an address of a node: without certificates it has to be a loopback address.
func checkNodeAddress(address, roots string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return fmt.Errorf("is not host:port")
	}
	if ip := net.ParseIP(host); roots == "" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("without roots only an address of this machine (127.0.0.0/8, ::1)")
	}
	return nil
}

// Agreed returns the program with what a version of the fleet decides: classes, limits, tenants, hosts and the fleet's
// settings. Listeners, keys, paths, connections, and this node's number and zone stay. The error is that the version
// has fewer nodes than this node's number needs.
func (p *Program) Agreed(v *Program) (*Program, error) {
	if v.Nodes <= p.Node {
		return nil, fmt.Errorf("fleet: nodes: %d, and this one has the number %d, from 0", v.Nodes, p.Node)
	}
	out := *p
	out.Limits, out.Rules, out.Nodes = v.Limits, v.Rules, v.Nodes
	out.Classes, out.Tenants, out.Hosts, out.Table = v.Classes, v.Tenants, v.Hosts, v.Table
	return &out, nil
}
