package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds: of processes, and of the links from processes to servers.
const (
	Pause        FaultKind = "stop"    // stopped where it stands, and let go on
	Kill         FaultKind = "kill"    // killed, and started again on the same folder
	KillAndErase FaultKind = "empty"   // killed, and started again on an emptied folder
	BlockUpdates FaultKind = "deaf"    // it gets no news of the servers
	Drop         FaultKind = "cut"     // the links carry nothing, unseen
	DropOutbound FaultKind = "cut-out" // they carry nothing towards the servers
	DropInbound  FaultKind = "cut-in"  // they carry nothing back
	ResetLinks   FaultKind = "break"   // they reset connections
	Delay        FaultKind = "delay"   // by By
	Throttle     FaultKind = "slow"    // to Rate bytes a second
	Buffer       FaultKind = "hold"    // what was sent is kept, and delivered at the end
)

var (
	processFaults = []FaultKind{Pause, Kill, KillAndErase, BlockUpdates}
	linkFaults    = []FaultKind{Drop, DropOutbound, DropInbound, ResetLinks, Delay, Throttle, Buffer}
)

// Fault befalls processes, or links of theirs, for a time.
type Fault struct {
	From, To time.Duration // since the run began
	Kind     FaultKind
	Nodes    []int // processes, from 0
	Servers  []int // for links: to these servers; none: to all
	Peers    []int // for links: to these processes instead, with what they ask in turn
	Latency  time.Duration
	Rate     int // bytes a second
}

// Check tells what is wrong with a fault, for so many nodes and servers.
func (f *Fault) Check(nodes, servers int, length time.Duration) error {
	link := slices.Contains(linkFaults, f.Kind)
	switch {
	case !link && !slices.Contains(processFaults, f.Kind):
		return fmt.Errorf("kind: %q is none of %v, %v", f.Kind, processFaults, linkFaults)
	case f.From < 0 || f.To <= f.From || f.From >= length:
		return fmt.Errorf("to: from %v to %v is no time of the run", f.From, f.To)
	case len(f.Nodes) == 0:
		return fmt.Errorf("nodes: none named")
	case !link && len(f.Servers)+len(f.Peers) > 0:
		return fmt.Errorf("servers: %s is of processes alone", f.Kind)
	case len(f.Servers) > 0 && len(f.Peers) > 0:
		return fmt.Errorf("peers: a fault is of links to servers or to processes")
	case f.Kind == Delay && (f.Latency <= 0 || f.Latency > time.Minute):
		return fmt.Errorf("by: %v is not from 1ns to 1m", f.Latency)
	case f.Kind == Throttle && (f.Rate < 1 || f.Rate > 1e9):
		return fmt.Errorf("rate: %d is not from 1 to 1e9", f.Rate)
	}
	for _, list := range []struct {
		name  string
		these []int
		of    int
	}{{"nodes", f.Nodes, nodes}, {"servers", f.Servers, servers}, {"peers", f.Peers, nodes}} {
		for _, n := range list.these {
			if n < 0 || n >= list.of {
				return fmt.Errorf("%s: %d is not among the %d, from 0", list.name, n, list.of)
			}
		}
	}
	return nil
}

// DelaysDelivery tells whether a fault has links deliver late what was sent in time.
func (f *Fault) DelaysDelivery() bool {
	return slices.Contains(linkFaults, f.Kind) && f.Kind != ResetLinks
}

// link is what a fault makes of a good link.
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

// String is the fault as its table in a day's file.
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

// RandomFaults draws a script: so many faults of any kind but deafness (which breaks the rule on drains: nothing keeps a node
// that heard nothing from acting on what it knows) that begin within a length, the same ones from the same seed.
// Never are all processes stopped or dead at once by it: some of the traffic has to meet each fault.
func RandomFaults(seed uint64, count, nodes, servers int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 23))
	kinds := append([]FaultKind{Pause, Kill, KillAndErase}, linkFaults...)
	var list []Fault
	for range count {
		f := randomFault(rng, kinds, length, length/5)
		f.Nodes = []int{rng.IntN(nodes)}
		if slices.Contains(processFaults, f.Kind) {
			f.Nodes[0] = rng.IntN(max(1, nodes-1)) // the last one goes on
		} else {
			for s := range servers {
				if rng.IntN(3) == 0 {
					f.Servers = append(f.Servers, s)
				}
			}
		}
		f.drawParameters(rng, 300, 200, 20_000)
		list = append(list, f)
	}
	return sortByStart(list)
}

// randomFault is a fault of one of the kinds that begins within a length, and lasts for a twentieth of it and up to most.
func randomFault(rng *rand.Rand, kinds []FaultKind, length, most time.Duration) Fault {
	from := time.Duration(rng.Int64N(int64(length*3/4))).Truncate(time.Millisecond) + length/20
	return Fault{From: from, To: from + length/20 + time.Duration(rng.Int64N(int64(most))).Truncate(time.Millisecond), Kind: kinds[rng.IntN(len(kinds))]}
}

// drawParameters draws those of a fault's kind: a delay up to so many milliseconds, a rate from so many bytes a second up.
func (f *Fault) drawParameters(rng *rand.Rand, by int64, rate, more int) {
	switch f.Kind {
	case Delay:
		f.Latency = time.Duration(1+rng.Int64N(by)) * time.Millisecond
	case Throttle:
		f.Rate = rate + rng.IntN(more)
	}
}

func sortByStart(list []Fault) []Fault {
	slices.SortStableFunc(list, func(x, y Fault) int { return cmp.Compare(x.From, y.From) })
	return list
}

// RandomPeerFaults draws a script of faults of processes and of the links between them, the first voters of which vote: what
// Draw is for links to servers. At most a minority of the voters is stopped or dead at once by it; cuts may part any
// from any. In each script one process is cut off from all others for a third of the time, and another one is stopped
// for as long.
func RandomPeerFaults(seed uint64, count, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 39))
	kinds := []FaultKind{Pause, Pause, Kill, Drop, Drop, DropOutbound, DropInbound, ResetLinks, Delay, Throttle, Buffer, Buffer}
	var list []Fault
	all := func(but int) (list []int) {
		for n := range nodes {
			if n != but {
				list = append(list, n)
			}
		}
		return list
	}
	alone := rng.IntN(nodes)
	for _, k := range []FaultKind{Drop, Pause} {
		from := length/10 + time.Duration(rng.Int64N(int64(length/4))).Truncate(time.Millisecond)
		f := Fault{From: from, To: from + length/3, Kind: k, Nodes: []int{alone}}
		if k == Drop {
			f.Peers = all(alone)
		}
		list = append(list, f)
		alone = voters + (alone+1)%max(1, nodes-voters) // one that doesn't vote
		if alone >= nodes {
			break
		}
	}
	down := 0 // the voter that alone may be stopped or dead
	if voters > 2 {
		down = rng.IntN(voters)
	}
	for range count - len(list) {
		f := randomFault(rng, kinds, length, length/3)
		n := rng.IntN(nodes)
		if slices.Contains(processFaults, f.Kind) && n < voters {
			n = down
		}
		f.Nodes = []int{n}
		if slices.Contains(linkFaults, f.Kind) {
			for other := range nodes {
				if other != n && (rng.IntN(3) > 0 || other == (n+1)%nodes) {
					f.Peers = append(f.Peers, other)
				}
			}
		}
		f.drawParameters(rng, 500, 1000, 50_000)
		list = append(list, f)
	}
	return sortByStart(list)
}

// RandomPowerLoss draws a script in which all processes lose power at one moment, twice, and come back one by one; one of
// those that don't vote may come back on an emptied disk.
func RandomPowerLoss(seed uint64, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 41))
	var list []Fault
	for i := range 2 {
		from := (length*time.Duration(1+3*i)/6 + time.Duration(rng.Int64N(int64(length/6)))).Truncate(time.Millisecond)
		emptied := voters + rng.IntN(max(1, nodes-voters))
		for n := range nodes {
			f := Fault{From: from, To: from + length/20 + time.Duration(rng.Int64N(int64(length/4))).Truncate(time.Millisecond), Kind: Kill, Nodes: []int{n}}
			if n == emptied {
				f.Kind = KillAndErase
			}
			list = append(list, f)
		}
	}
	return list
}
