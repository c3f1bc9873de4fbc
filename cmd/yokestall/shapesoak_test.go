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
	"yokestall/internal/stress/soak"
	"yokestall/internal/testutil"
)

const (
	// soakSeeds is the number of seeds of a short soak. The environment variable YOKESTALL_SOAK_SEEDS sets another one.
	soakSeeds = 3
	// soakExchanges is the number of exchanges of each seed.
	soakExchanges = 90
	// soakAtOnce is the number of exchanges at once.
	soakAtOnce = 30
)

// serveTargets are the targets that the program under test serves.
var serveTargets = soak.Targets{Read: "/read", Upload: "/pay", Bodies: serveUploads}

// Guards against any combination of who pauses, where, for how long, in which framing and size and of which class, beside two
// disruptions at a time, that costs a request its final answer.
func TestServeShapeSoak(t *testing.T) {
	seeds := soakSeeds
	if text := os.Getenv("YOKESTALL_SOAK_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	program, floods := testutil.BuildProgram(t, "cmd/yokestall"), testutil.BuildProgram(t, "internal/stress/crowd/floods")
	for seed := range seeds {
		random := rand.New(rand.NewPCG(uint64(seed), 8))
		hedging, kinds := random.IntN(2) == 0, soak.DrawTwo(random, serveTargets, floods)
		t.Run(fmt.Sprintf("seed %d, hedging %v, %s, %s", seed, hedging, kinds[0].Name, kinds[1].Name), func(t *testing.T) {
			addr := startShapeServers(t, program, hedging)
			for _, d := range kinds {
				defer d.Start(random, addr)()
			}
			ordinaryReports := make(chan crowd.OrdinaryReport, 1)
			go func() { ordinaryReports <- crowd.RunOrdinary(soak.OrdinaryClients(addr, serveTargets.Read)) }()
			report := checkShapes(t, shapes.Options{Addr: addr, AtOnce: soakAtOnce, Every: 20 * time.Millisecond, MayRefuse: true},
				shapes.DrawMany(uint64(seed), soakExchanges, func(random *rand.Rand) shapes.Shape {
					return shapes.Any(random, serveClasses(), serveUploads).ForGateway()
				}))
			ordinary := <-ordinaryReports
			t.Logf("%d exchanges kept the rules, %d were refused; ordinary clients: %v", report.Passed, report.Refused, ordinary)
			if ordinary.Late > 0 {
				t.Errorf("ordinary clients: %v; want none late or lost", ordinary)
			}
		})
	}
}
