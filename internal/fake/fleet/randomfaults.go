package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// parameterRange is what the parameters of random faults are drawn from.
type parameterRange struct {
	maxLatency int64 // milliseconds
	minRate    int   // bytes per second
	rates      int   // number of rates from minRate up
}

// RandomFaults draws a script of so many faults that begin within a length, the same from the same seed. It has all
// kinds but BlockUpdates: a node without updates may go on sending to servers that drain. The last process is never
// paused or dead, so that some requests meet each fault.
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

// randomFault draws a fault of one of the kinds that begins within a length. It lasts for a twentieth of the length and
// up to maxDuration more.
func randomFault(rng *rand.Rand, kinds []FaultKind, length, maxDuration time.Duration) Fault {
	from := randomDuration(rng, length*3/4) + length/20
	to := from + length/20 + randomDuration(rng, maxDuration)
	return Fault{From: from, To: to, Kind: kinds[rng.IntN(len(kinds))]}
}

// randomDuration draws a duration below a bound, in whole milliseconds.
func randomDuration(rng *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(bound))).Truncate(time.Millisecond)
}

// drawParameters draws the parameters of a fault's kind.
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

// RandomPeerFaults draws a script of faults of processes and of the links between them; the first voters processes
// vote. At most a minority of the voters is paused or dead at once; dropped links may part any process from any. In
// each script one process is cut off from all others for a third of the time, and another one is paused for as long.
func RandomPeerFaults(seed uint64, count, nodes, voters int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 39))
	kinds := []FaultKind{
		Pause, Pause, Kill, Drop, Drop, DropOutbound, DropInbound, ResetLinks, Delay, Throttle, Buffer, Buffer,
	}
	parameters := parameterRange{maxLatency: 500, minRate: 1000, rates: 50_000}
	script := randomIsolation(rng, nodes, voters, length)
	down := 0 // the only voter that may be paused or dead
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

// randomIsolation draws a process that is cut off from all others and, if not all processes vote, a non-voter that is
// paused, each for a third of the length.
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

// RandomPowerLoss draws a script in which all processes lose power at one moment, twice, and come back one by one. One
// process at a time may come back with an erased folder, if not all vote, and never a voter.
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
