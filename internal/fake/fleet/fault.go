package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault. Its values are written as such in the fault tables of experiment files.
type FaultKind string

// The kinds of faults of processes.
const (
	Pause        FaultKind = "stop"  // the process is stopped by SIGSTOP, and continued when the fault ends
	Kill         FaultKind = "kill"  // the process is killed, and restarted with its files when the fault ends
	KillAndErase FaultKind = "empty" // the process is killed, and restarted with an erased folder when the fault ends
	BlockUpdates FaultKind = "deaf"  // the process gets no endpoint updates
)

// The kinds of faults of links.
const (
	Drop         FaultKind = "cut"     // all bytes in both directions are discarded, and connections stay open
	DropOutbound FaultKind = "cut-out" // all bytes from the process are discarded
	DropInbound  FaultKind = "cut-in"  // all bytes to the process are discarded
	ResetLinks   FaultKind = "break"   // connections are reset, new ones too
	Delay        FaultKind = "delay"   // each piece of a connection is delayed by Fault.Latency
	Throttle     FaultKind = "slow"    // each direction of a connection is limited to Fault.Rate
	Buffer       FaultKind = "hold"    // all bytes are buffered, and delivered when the fault ends
)

// Upper limits of a fault's parameters.
const (
	maxFaultLatency = time.Minute
	maxFaultRate    = 1e9 // bytes per second
)

var (
	processFaults = []FaultKind{Pause, Kill, KillAndErase, BlockUpdates}
	linkFaults    = []FaultKind{Drop, DropOutbound, DropInbound, ResetLinks, Delay, Throttle, Buffer}
)

// Fault is a fault of processes or of their links. It starts at From and ends at To.
type Fault struct {
	From, To time.Duration // times since the start of the run
	Kind     FaultKind
	Nodes    []int         // indexes of the affected processes, from 0
	Servers  []int         // for a link fault: only links to these servers; if empty, links to all servers
	Peers    []int         // for a link fault: only links between Nodes and these processes, and none to servers
	Latency  time.Duration // the added latency of a Delay fault
	Rate     int           // the limit of a Throttle fault in bytes per second
}

// Check validates the fault for a run of the given number of nodes and servers and the given length. The error begins
// with the key of the invalid value in experiment files.
func (f *Fault) Check(nodes, servers int, length time.Duration) error {
	ofLinks := slices.Contains(linkFaults, f.Kind)
	switch {
	case !ofLinks && !slices.Contains(processFaults, f.Kind):
		return fmt.Errorf("kind: %q is not a fault kind; want a process fault of %v or a link fault of %v",
			f.Kind, processFaults, linkFaults)
	case f.From < 0 || f.To <= f.From || f.From >= length:
		return fmt.Errorf("to: the fault lasts from %v to %v; want it to start within the run and to end after its start",
			f.From, f.To)
	case len(f.Nodes) == 0:
		return fmt.Errorf("nodes: the list is empty; want at least one process")
	case !ofLinks && len(f.Servers)+len(f.Peers) > 0:
		return fmt.Errorf("servers: a fault of kind %s affects processes only and takes neither servers nor peers", f.Kind)
	case len(f.Servers) > 0 && len(f.Peers) > 0:
		return fmt.Errorf("peers: a link fault takes either servers or peers, not both")
	case f.Kind == Delay && (f.Latency <= 0 || f.Latency > maxFaultLatency):
		return fmt.Errorf("by: a delay of %v is out of range, want 1ns to 1m", f.Latency)
	case f.Kind == Throttle && (f.Rate < 1 || f.Rate > maxFaultRate):
		return fmt.Errorf("rate: %d bytes per second is out of range, want 1 to 1e9", f.Rate)
	}
	for _, list := range []struct {
		key     string
		indexes []int
		count   int
	}{{"nodes", f.Nodes, nodes}, {"servers", f.Servers, servers}, {"peers", f.Peers, nodes}} {
		for _, n := range list.indexes {
			if n < 0 || n >= list.count {
				return fmt.Errorf("%s: %d is not among the %d of the run, which count from 0", list.key, n, list.count)
			}
		}
	}
	return nil
}

// DelaysDelivery reports whether the fault may make links deliver bytes late that were sent in time.
func (f *Fault) DelaysDelivery() bool {
	return slices.Contains(linkFaults, f.Kind) && f.Kind != ResetLinks
}

// affectsServer reports whether a link fault affects the links to the given server.
func (f *Fault) affectsServer(server int) bool {
	return len(f.Peers) == 0 && (len(f.Servers) == 0 || slices.Contains(f.Servers, server))
}

// link returns the state of a link that this fault alone affects.
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

// String returns the fault as a table of an experiment file.
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
