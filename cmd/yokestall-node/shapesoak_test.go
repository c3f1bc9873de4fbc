package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"yokestall/internal/stress/crowd"
	"yokestall/internal/stress/shapes"
	"yokestall/internal/testutil"
)

const (
	// soakSeeds is the number of seeds of a short soak. The environment variable YOKESTALL_SOAK_SEEDS sets another one.
	soakSeeds = 4
	// soakExchanges is the number of exchanges of each seed.
	soakExchanges = 90
	// soakAtOnce is the number of exchanges at once. With the disruptions they are fewer than the places for clients.
	soakAtOnce = 30
)

// disruption makes trouble for the node at an address until stop is called.
type disruption struct {
	name  string
	start func(random *rand.Rand, addr string) (stop func())
}

// disruptions returns all kinds of disruptions.
func disruptions() []disruption {
	list := []disruption{{"slow uploads", func(random *rand.Rand, addr string) func() {
		return shapes.StartSlowUploads(addr, 20+random.IntN(60), shapes.Uploads)
	}}}
	for _, kind := range []crowd.Kind{crowd.HalfRequests, crowd.SlowReaders, crowd.UnendedHeads} {
		list = append(list, disruption{string(kind), func(random *rand.Rand, addr string) func() {
			return crowd.Start(crowd.Options{
				Addr: addr, Kind: kind, Clients: 10 + random.IntN(50), HeadBytes: 15 << 10, LongAnswer: "/read", Upload: "/pay",
			}).Stop
		}})
	}
	for _, kind := range crowd.FloodKinds() {
		list = append(list, disruption{string(kind), func(random *rand.Rand, addr string) func() {
			return crowd.StartFlood(crowd.FloodOptions{
				Addr: addr, Kind: kind, Clients: 1 + random.IntN(6), Pipelined: 1 + random.IntN(100), Target: "/read",
				FullSpeed: random.IntN(2) == 0,
			}).Stop
		}})
	}
	return list
}

// ordinaryClients are clients that are judged apart from the drawn ones.
func ordinaryClients(addr string) crowd.OrdinaryOptions {
	return crowd.OrdinaryOptions{
		Addr: addr, Target: "/read", Clients: 3, Requests: 60, Every: 20 * time.Millisecond,
		Timeout: 600 * time.Millisecond, Grace: answerGrace,
	}
}

// Guards against any combination of who pauses, where, for how long, in which framing and size and of which class, beside two
// disruptions at a time, that costs a request its final answer. The seeds draw the node's settings too.
func TestShapeSoak(t *testing.T) {
	seeds := soakSeeds
	if text := os.Getenv("YOKESTALL_SOAK_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	program := testutil.BuildProgram(t, "cmd/yokestall-node")
	for seed := range seeds {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
		o := rigOptions{
			memoryMB: []int{32, 64, 192}[random.IntN(3)], descriptors: []int{defaultDescriptors, 4096}[random.IntN(2)],
			hedging: random.IntN(2) == 0, executable: program,
		}
		kinds := disruptions()
		random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		name := fmt.Sprintf("seed %d, %d MB, %d descriptors, hedging %v, %s, %s",
			seed, o.memoryMB, o.descriptors, o.hedging, kinds[0].name, kinds[1].name)
		t.Run(name, func(t *testing.T) {
			addr := startShapeServers(t, o)
			for _, d := range kinds[:2] {
				defer d.start(random, addr)()
			}
			ordinaryReports := make(chan crowd.OrdinaryReport, 1)
			go func() { ordinaryReports <- crowd.RunOrdinary(ordinaryClients(addr)) }()
			report := checkShapes(t, shapes.Options{Addr: addr, AtOnce: soakAtOnce, Every: 20 * time.Millisecond, MayRefuse: true},
				shapes.DrawMany(uint64(seed), soakExchanges, func(random *rand.Rand) shapes.Shape {
					return shapes.Any(random, shapes.AllClasses(), shapes.Uploads)
				}))
			ordinary := <-ordinaryReports
			t.Logf("%d exchanges kept the rules, %d were refused; ordinary clients: %v", report.Passed, report.Refused, ordinary)
			if ordinary.Late > 0 {
				t.Errorf("ordinary clients: %v; want none late or lost", ordinary)
			}
		})
	}
}
