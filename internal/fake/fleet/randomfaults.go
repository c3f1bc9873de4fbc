package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// parameterRange bounds the parameters of random faults.
type parameterRange struct {
	maxLatency int64 // milliseconds
	minRate    int   // bytes per second
	rates      int   // number of possible rates, counted upwards from minRate
}

// RandomFaults draws a script of count faults that start within length. The same seed gives the same script. The script
// has no BlockUpdates faults, since a node without updates may legitimately send to servers that are draining. With more
// than one process, the last one is never paused or killed, so that some requests are sent during each fault.
func RandomFaults(seed uint64, count, nodes, servers int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 23))
	kinds := append([]FaultKind{Pause, Kill, KillAndErase}, linkFaults...)
	parameters := parameterRange{maxLatency: 300, minRate: 200, rates: 20_000}
	var script []Fault
	for range count {
		f := randomFault(rng, kinds, length, length/5)
		f.Nodes = []int{rng.IntN(nodes)}
		if slices.Contains(processFaults, f.Kind) {
			f.Nodes[0] = rng.IntN(max(1, nodes-1))
		} else {
			for s := range servers {
				if rng.IntN(3) == 0 {
					f.Servers = append(f.Servers, s)
				}
			}
		}
		f.drawParameters(rng, parameters)
		script = append(script, f)
	}
	return sortByStart(script)
}

// randomFault draws a fault of one of the kinds that starts within length and lasts for a twentieth of length plus up to
// maxDuration.
func randomFault(rng *rand.Rand, kinds []FaultKind, length, maxDuration time.Duration) Fault {
	from := randomDuration(rng, length*3/4) + length/20
	to := from + length/20 + randomDuration(rng, maxDuration)
	return Fault{From: from, To: to, Kind: kinds[rng.IntN(len(kinds))]}
}

// randomDuration draws a duration from 0 to below bound, in whole milliseconds.
func randomDuration(rng *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(bound))).Truncate(time.Millisecond)
}

// drawParameters draws the latency of a Delay fault or the rate of a Throttle fault.
func (f *Fault) drawParameters(rng *rand.Rand, from parameterRange) {
	switch f.Kind {
	case Delay:
		f.Latency = time.Duration(1+rng.Int64N(from.maxLatency)) * time.Millisecond
	case Throttle:
		f.Rate = from.minRate + rng.IntN(from.rates)
	}
}

func sortByStart(script []Fault) []Fault {
	slices.SortStableFunc(script, func(x, y Fault) int { return cmp.Compare(x.From, y.From) })
	return script
}

// RandomPeerFaults draws a script of faults of processes and of the links between them. The processes with an index
// below voters vote. At most one voter is paused or killed, so that a majority of three or more stays up; dropped links
// may partition any processes. In each script, one process is cut off from all others for a third of the length; if not
// all processes vote, a process that does not vote is paused for as long.
func RandomPeerFaults(seed uint64, count, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 39))
	kinds := []FaultKind{
		Pause, Pause, Kill, Drop, Drop, DropOutbound, DropInbound, ResetLinks, Delay, Throttle, Buffer, Buffer,
	}
	parameters := parameterRange{maxLatency: 500, minRate: 1000, rates: 50_000}
	script := randomIsolation(rng, nodes, voters, length)
	down := 0 // the only voter that may be paused or killed
	if voters > 2 {
		down = rng.IntN(voters)
	}
	for range count - len(script) {
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
		f.drawParameters(rng, parameters)
		script = append(script, f)
	}
	return sortByStart(script)
}

// randomIsolation draws a fault that cuts one process off from all others and, if not all processes vote, a fault that
// pauses a process that does not vote. Each lasts for a third of length.
func randomIsolation(rng *rand.Rand, nodes, voters int, length time.Duration) (script []Fault) {
	node := rng.IntN(nodes)
	for _, kind := range []FaultKind{Drop, Pause} {
		from := length/10 + randomDuration(rng, length/4)
		f := Fault{From: from, To: from + length/3, Kind: kind, Nodes: []int{node}}
		if kind == Drop {
			for n := range nodes {
				if n != node {
					f.Peers = append(f.Peers, n)
				}
			}
		}
		script = append(script, f)
		node = voters + (node+1)%max(1, nodes-voters)
		if node >= nodes {
			break
		}
	}
	return script
}

// RandomPowerLoss draws a script in which all processes are killed at the same moment, twice, and restart at different
// times. If not all processes vote, one process that does not vote restarts with an erased folder each time.
func RandomPowerLoss(seed uint64, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 41))
	var script []Fault
	for i := range 2 {
		from := length*time.Duration(1+3*i)/6 + time.Duration(rng.Int64N(int64(length/6)))
		from = from.Truncate(time.Millisecond)
		erased := voters + rng.IntN(max(1, nodes-voters))
		for n := range nodes {
			to := from + length/20 + randomDuration(rng, length/4)
			f := Fault{From: from, To: to, Kind: Kill, Nodes: []int{n}}
			if n == erased {
				f.Kind = KillAndErase
			}
			script = append(script, f)
		}
	}
	return script
}
