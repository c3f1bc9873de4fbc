package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault. Its values are the words of scripts in files.
type FaultKind string

// The kinds of faults of processes.
const (
	Pause        FaultKind = "stop"  // stopped by a signal, and continued at the end
	Kill         FaultKind = "kill"  // killed, and started again with the same folder
	KillAndErase FaultKind = "empty" // killed, and started again with an erased folder
	BlockUpdates FaultKind = "deaf"  // gets no endpoint updates
)

// The kinds of faults of links.
const (
	Drop         FaultKind = "cut"     // both directions lose all bytes without notice
	DropOutbound FaultKind = "cut-out" // the direction to the servers loses all bytes
	DropInbound  FaultKind = "cut-in"  // the direction from the servers loses all bytes
	ResetLinks   FaultKind = "break"   // connections are reset
	Delay        FaultKind = "delay"   // by Fault.Latency
	Throttle     FaultKind = "slow"    // to Fault.Rate
	Buffer       FaultKind = "hold"    // all bytes are delivered at the end
)

// Limits of a fault's parameters.
const (
	maxFaultLatency = time.Minute
	maxFaultRate    = 1e9 // bytes per second
)

var (
	processFaults = []FaultKind{Pause, Kill, KillAndErase, BlockUpdates}
	linkFaults    = []FaultKind{Drop, DropOutbound, DropInbound, ResetLinks, Delay, Throttle, Buffer}
)

// Fault is a fault of processes, or of links of theirs, for a time.
type Fault struct {
	From, To time.Duration // since the run began
	Kind     FaultKind
	Nodes    []int         // processes, from 0
	Servers  []int         // of a link fault: only the links to these servers; none: to all
	Peers    []int         // of a link fault: only the links to and from these processes
	Latency  time.Duration // of a Delay
	Rate     int           // of a Throttle, bytes per second
}

// Check returns what is wrong with a fault for so many nodes and servers, as an error that begins with its key in
// files.
func (f *Fault) Check(nodes, servers int, length time.Duration) error {
	ofLinks := slices.Contains(linkFaults, f.Kind)
	switch {
	case !ofLinks && !slices.Contains(processFaults, f.Kind):
		return fmt.Errorf("kind: %q is none of %v, %v", f.Kind, processFaults, linkFaults)
	case f.From < 0 || f.To <= f.From || f.From >= length:
		return fmt.Errorf("to: from %v to %v is no time of the run", f.From, f.To)
	case len(f.Nodes) == 0:
		return fmt.Errorf("nodes: none named")
	case !ofLinks && len(f.Servers)+len(f.Peers) > 0:
		return fmt.Errorf("servers: %s is of processes alone", f.Kind)
	case len(f.Servers) > 0 && len(f.Peers) > 0:
		return fmt.Errorf("peers: a fault is of links to servers or to processes")
	case f.Kind == Delay && (f.Latency <= 0 || f.Latency > maxFaultLatency):
		return fmt.Errorf("by: %v is not from 1ns to 1m", f.Latency)
	case f.Kind == Throttle && (f.Rate < 1 || f.Rate > maxFaultRate):
		return fmt.Errorf("rate: %d is not from 1 to 1e9", f.Rate)
	}
	for _, list := range []struct {
		key     string
		indexes []int
		count   int
	}{{"nodes", f.Nodes, nodes}, {"servers", f.Servers, servers}, {"peers", f.Peers, nodes}} {
		for _, n := range list.indexes {
			if n < 0 || n >= list.count {
				return fmt.Errorf("%s: %d is not among the %d, from 0", list.key, n, list.count)
			}
		}
	}
	return nil
}

// DelaysDelivery reports whether links may deliver late, under this fault, what was sent in time.
func (f *Fault) DelaysDelivery() bool {
	return slices.Contains(linkFaults, f.Kind) && f.Kind != ResetLinks
}

// affectsServer reports whether a link fault is of the links to a server.
func (f *Fault) affectsServer(server int) bool {
	return len(f.Peers) == 0 && (len(f.Servers) == 0 || slices.Contains(f.Servers, server))
}

// link is the state of a link that has this fault alone.
func (f *Fault) link() (l Link) {
	switch f.Kind {
	case Drop:
		l.DropInbound, l.DropOutbound = true, true
	case DropOutbound:
		l.DropOutbound = true
	case DropInbound:
		l.DropInbound = true
	case ResetLinks:
		l.Reset = true
	case Delay:
		l.Delay = f.Latency
	case Throttle:
		l.Rate = f.Rate
	case Buffer:
		l.Buffer = true
	}
	return l
}

// String returns the fault as its table in an experiment's file.
func (f Fault) String() string {
	var b strings.Builder
	list := func(n []int) string { return strings.ReplaceAll(fmt.Sprint(n), " ", ", ") }
	fmt.Fprintf(&b, "[[fault]]\nfrom = %q\nto = %q\nkind = %q\nnodes = %s\n", f.From, f.To, f.Kind, list(f.Nodes))
	if len(f.Servers) > 0 {
		fmt.Fprintf(&b, "servers = %s\n", list(f.Servers))
	}
	if len(f.Peers) > 0 {
		fmt.Fprintf(&b, "peers = %s\n", list(f.Peers))
	}
	if f.Kind == Delay {
		fmt.Fprintf(&b, "by = %q\n", f.Latency)
	}
	if f.Kind == Throttle {
		fmt.Fprintf(&b, "rate = %d\n", f.Rate)
	}
	return b.String()
}
