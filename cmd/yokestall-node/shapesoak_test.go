package main

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yokestall/internal/stress/shapes"
	"yokestall/internal/stress/soak"
	"yokestall/internal/testutil"
)

// soakSeeds is the number of seeds of a short soak.
const soakSeeds = 4

// Guards against any combination of who pauses, where, for how long, in which framing and size and of which class, beside two
// disruptions at a time, that costs a request its final answer. The seeds draw the node's settings too.
func TestShapeSoak(t *testing.T) {
	targets := soak.Targets{Read: "/read", Upload: "/pay", Bodies: shapes.Uploads}
	program, floods := testutil.BuildProgram(t, "cmd/yokestall-node"), testutil.BuildProgram(t, floodsCommand)
	for seed := range soak.Seeds(soakSeeds) {
		random := rand.New(rand.NewPCG(uint64(seed), 7))
		o := rigOptions{
			memoryMB: []int{32, 64, 192}[random.IntN(3)], descriptors: []int{defaultDescriptors, 4096}[random.IntN(2)],
			hedging: random.IntN(2) == 0, executable: program,
		}
		kinds := soak.DrawTwo(random, targets, floods)
		name := fmt.Sprintf("seed %d, %d MB, %d descriptors, hedging %v, %s, %s",
			seed, o.memoryMB, o.descriptors, o.hedging, kinds[0].Name, kinds[1].Name)
		t.Run(name, func(t *testing.T) {
			report := soak.Play{
				Addr: startShapeServers(t, o), Seed: uint64(seed), Random: random, Targets: targets, Disruptions: kinds,
				Classes: shapes.AllClasses(),
			}.Run()
			t.Log(report)
			for _, failure := range report.Failures() {
				t.Error(failure)
			}
		})
	}
}
