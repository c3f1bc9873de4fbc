// Package soak draws the trouble of a soak: clients that a program under test has to cope with beside the exchanges that are
// judged.
package soak

import (
	"math/rand/v2"
	"time"

	"yokestall/internal/stress/crowd"
	"yokestall/internal/stress/shapes"
)

// Targets are the targets of requests that the program under test serves.
type Targets struct {
	Read   string         // of a request without a body
	Upload string         // of a request with a body
	Bodies []shapes.Class // classes whose requests have bodies
}

// Disruption makes trouble for the program at an address until stop is called.
type Disruption struct {
	Name  string
	Start func(random *rand.Rand, addr string) (stop func())
}

// DrawTwo draws two of all kinds of disruptions. floods is a build of internal/stress/crowd/floods.
func DrawTwo(random *rand.Rand, to Targets, floods string) []Disruption {
	kinds := disruptions(to, floods)
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds[:2]
}

// disruptions returns all kinds of disruptions.
func disruptions(to Targets, floods string) []Disruption {
	list := []Disruption{{"slow uploads", func(random *rand.Rand, addr string) func() {
		return shapes.StartSlowUploads(addr, 20+random.IntN(60), to.Bodies)
	}}}
	for _, kind := range []crowd.Kind{crowd.HalfRequests, crowd.SlowReaders, crowd.UnendedHeads} {
		list = append(list, Disruption{string(kind), func(random *rand.Rand, addr string) func() {
			return crowd.Start(crowd.Options{
				Addr: addr, Kind: kind, Clients: 10 + random.IntN(50), HeadBytes: 15 << 10,
				LongAnswer: to.Read, Upload: to.Upload,
			}).Stop
		}})
	}
	for _, kind := range crowd.FloodKinds() {
		list = append(list, Disruption{string(kind), func(random *rand.Rand, addr string) func() {
			return startFlood(floods, crowd.FloodOptions{
				Addr: addr, Kind: kind, Clients: 1 + random.IntN(6), Pipelined: 1 + random.IntN(100), Target: to.Read,
				FullSpeed: random.IntN(2) == 0,
			})
		}})
	}
	return list
}

// startFlood starts a flood in a process of its own. It panics if the process can't be started, or fails.
func startFlood(executable string, o crowd.FloodOptions) (stop func()) {
	flood, err := crowd.StartFloodProcess(executable, o)
	if err != nil {
		panic(err)
	}
	return func() {
		if _, err := flood.Stop(); err != nil {
			panic(err)
		}
	}
}

// ordinaryClients are clients that are judged apart from the drawn exchanges.
func ordinaryClients(addr, target string) crowd.OrdinaryOptions {
	return crowd.OrdinaryOptions{
		Addr: addr, Target: target, Clients: 3, Requests: 60, Every: 20 * time.Millisecond,
		Timeout: 600 * time.Millisecond, Grace: 500 * time.Millisecond,
	}
}
