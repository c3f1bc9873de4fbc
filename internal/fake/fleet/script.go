package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds: of processes, and of the links from processes to servers.
const (
	Stop   Kind = "stop"    // stopped where it stands, and let go on
	Kill   Kind = "kill"    // killed, and started again on the same folder
	Empty  Kind = "empty"   // killed, and started again on an emptied folder
	Deaf   Kind = "deaf"    // it gets no news of the servers
	Cut    Kind = "cut"     // the links carry nothing, unseen
	CutOut Kind = "cut-out" // they carry nothing towards the servers
	CutIn  Kind = "cut-in"  // they carry nothing back
	Break  Kind = "break"   // they reset connections
	Delay  Kind = "delay"   // by By
	Slow   Kind = "slow"    // to Rate bytes a second
	Hold   Kind = "hold"    // what was sent is kept, and delivered at the end
)

var (
	ofNodes = []Kind{Stop, Kill, Empty, Deaf}
	ofLinks = []Kind{Cut, CutOut, CutIn, Break, Delay, Slow, Hold}
)

// Fault befalls processes, or links of theirs, for a time.
type Fault struct {
	From, To time.Duration // since the run began
	Kind     Kind
	Nodes    []int // processes, from 0
	Servers  []int // for links: to these servers; none: to all
	Peers    []int // for links: to these processes instead, with what they ask in turn
	By       time.Duration
	Rate     int // bytes a second
}

// Check tells what is wrong with a fault, for so many nodes and servers.
func (f *Fault) Check(nodes, servers int, length time.Duration) error {
	link := slices.Contains(ofLinks, f.Kind)
	switch {
	case !link && !slices.Contains(ofNodes, f.Kind):
		return fmt.Errorf("kind: %q is none of %v, %v", f.Kind, ofNodes, ofLinks)
	case f.From < 0 || f.To <= f.From || f.From >= length:
		return fmt.Errorf("to: from %v to %v is no time of the run", f.From, f.To)
	case len(f.Nodes) == 0:
		return fmt.Errorf("nodes: none named")
	case !link && len(f.Servers)+len(f.Peers) > 0:
		return fmt.Errorf("servers: %s is of processes alone", f.Kind)
	case len(f.Servers) > 0 && len(f.Peers) > 0:
		return fmt.Errorf("peers: a fault is of links to servers or to processes")
	case f.Kind == Delay && (f.By <= 0 || f.By > time.Minute):
		return fmt.Errorf("by: %v is not from 1ns to 1m", f.By)
	case f.Kind == Slow && (f.Rate < 1 || f.Rate > 1e9):
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

// Keeps tells whether a fault has links deliver late what was sent in time.
func (f *Fault) Keeps() bool { return slices.Contains(ofLinks, f.Kind) && f.Kind != Break }

// link is what a fault makes of a good link.
func (f *Fault) link() (l Link) {
	switch f.Kind {
	case Cut:
		l.CutIn, l.CutOut = true, true
	case CutOut:
		l.CutOut = true
	case CutIn:
		l.CutIn = true
	case Break:
		l.Broken = true
	case Delay:
		l.Delay = f.By
	case Slow:
		l.Rate = f.Rate
	case Hold:
		l.Hold = true
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
		fmt.Fprintf(&b, "by = %q\n", f.By)
	}
	if f.Kind == Slow {
		fmt.Fprintf(&b, "rate = %d\n", f.Rate)
	}
	return b.String()
}

// Draw draws a script: so many faults of any kind but deafness (which breaks the rule on drains: nothing keeps a node
// that heard nothing from acting on what it knows) that begin within a length, the same ones from the same seed.
// Never are all processes stopped or dead at once by it: some of the traffic has to meet each fault.
func Draw(seed uint64, count, nodes, servers int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 23))
	kinds := append([]Kind{Stop, Kill, Empty}, ofLinks...)
	var list []Fault
	for range count {
		f := drawn(rng, kinds, length, length/5)
		f.Nodes = []int{rng.IntN(nodes)}
		if slices.Contains(ofNodes, f.Kind) {
			f.Nodes[0] = rng.IntN(max(1, nodes-1)) // the last one goes on
		} else {
			for s := range servers {
				if rng.IntN(3) == 0 {
					f.Servers = append(f.Servers, s)
				}
			}
		}
		f.figures(rng, 300, 200, 20_000)
		list = append(list, f)
	}
	return inOrder(list)
}

// drawn is a fault of one of the kinds that begins within a length, and lasts for a twentieth of it and up to most.
func drawn(rng *rand.Rand, kinds []Kind, length, most time.Duration) Fault {
	from := time.Duration(rng.Int64N(int64(length*3/4))).Truncate(time.Millisecond) + length/20
	return Fault{From: from, To: from + length/20 + time.Duration(rng.Int64N(int64(most))).Truncate(time.Millisecond), Kind: kinds[rng.IntN(len(kinds))]}
}

// figures draws those of a fault's kind: a delay up to so many milliseconds, a rate from so many bytes a second up.
func (f *Fault) figures(rng *rand.Rand, by int64, rate, more int) {
	switch f.Kind {
	case Delay:
		f.By = time.Duration(1+rng.Int64N(by)) * time.Millisecond
	case Slow:
		f.Rate = rate + rng.IntN(more)
	}
}

func inOrder(list []Fault) []Fault {
	slices.SortStableFunc(list, func(x, y Fault) int { return cmp.Compare(x.From, y.From) })
	return list
}

// DrawPeers draws a script of faults of processes and of the links between them, the first voters of which vote: what
// Draw is for links to servers. At most a minority of the voters is stopped or dead at once by it; cuts may part any
// from any. In each script one process is cut off from all others for a third of the time, and another one is stopped
// for as long.
func DrawPeers(seed uint64, count, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 39))
	kinds := []Kind{Stop, Stop, Kill, Cut, Cut, CutOut, CutIn, Break, Delay, Slow, Hold, Hold}
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
	for _, k := range []Kind{Cut, Stop} {
		from := length/10 + time.Duration(rng.Int64N(int64(length/4))).Truncate(time.Millisecond)
		f := Fault{From: from, To: from + length/3, Kind: k, Nodes: []int{alone}}
		if k == Cut {
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
		f := drawn(rng, kinds, length, length/3)
		n := rng.IntN(nodes)
		if slices.Contains(ofNodes, f.Kind) && n < voters {
			n = down
		}
		f.Nodes = []int{n}
		if slices.Contains(ofLinks, f.Kind) {
			for other := range nodes {
				if other != n && (rng.IntN(3) > 0 || other == (n+1)%nodes) {
					f.Peers = append(f.Peers, other)
				}
			}
		}
		f.figures(rng, 500, 1000, 50_000)
		list = append(list, f)
	}
	return inOrder(list)
}

// DrawPower draws a script in which all processes lose power at one moment, twice, and come back one by one; one of
// those that don't vote may come back on an emptied disk.
func DrawPower(seed uint64, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 41))
	var list []Fault
	for i := range 2 {
		from := (length*time.Duration(1+3*i)/6 + time.Duration(rng.Int64N(int64(length/6)))).Truncate(time.Millisecond)
		emptied := voters + rng.IntN(max(1, nodes-voters))
		for n := range nodes {
			f := Fault{From: from, To: from + length/20 + time.Duration(rng.Int64N(int64(length/4))).Truncate(time.Millisecond), Kind: Kill, Nodes: []int{n}}
			if n == emptied {
				f.Kind = Empty
			}
			list = append(list, f)
		}
	}
	return list
}
