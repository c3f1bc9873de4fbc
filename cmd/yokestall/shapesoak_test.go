package main

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yokestall/internal/stress/soak"
	"yokestall/internal/testutil"
)

// soakSeeds is the number of seeds of a short soak.
const soakSeeds = 3

// Guards against any combination of who pauses, where, for how long, in which framing and size and of which class, beside two
// disruptions at a time, that costs a request its final answer.
func TestServeShapeSoak(t *testing.T) {
	targets := soak.Targets{Read: "/read", Upload: "/pay", Bodies: serveUploads}
	program, floods := testutil.BuildProgram(t, "cmd/yokestall"), testutil.BuildProgram(t, "internal/stress/crowd/floods")
	for seed := range soak.Seeds(soakSeeds) {
		random := rand.New(rand.NewPCG(uint64(seed), 8))
		hedging, kinds := random.IntN(2) == 0, soak.DrawTwo(random, targets, floods)
		t.Run(fmt.Sprintf("seed %d, hedging %v, %s, %s", seed, hedging, kinds[0].Name, kinds[1].Name), func(t *testing.T) {
			report := soak.Play{
				Addr: startShapeServers(t, program, hedging), Seed: uint64(seed), Random: random, Targets: targets,
				Disruptions: kinds, Classes: serveClasses(), Gateway: true,
			}.Run()
			t.Log(report)
			for _, failure := range report.Failures() {
				t.Error(failure)
			}
		})
	}
}
