package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"yokestall/internal/model"
	"yokestall/policy"
)

const ms = time.Millisecond

// randomScenario returns a random scenario in which servers restart under a burst of load. The distribution of requests
// over the nodes, the load and the capacity of a server that is warming up are random.
func randomScenario(nodes int, seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 48))
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	seconds := func(low, high float64) time.Duration {
		return time.Duration(between(low, high) * float64(time.Second))
	}
	s := &Scenario{
		Length:       11 * time.Second,
		Nodes:        nodes,
		Servers:      6 + rng.IntN(8),
		NetworkDelay: 300 * time.Microsecond,
		ListDelay:    500 * ms,
		ServerKind: model.ServerSpec{
			Cores:                1 + rng.IntN(4),
			Speed:                1,
			MaxQueued:            32,
			SlowdownPerQueued:    0.05,
			SlowStartMinCapacity: between(0.1, 0.4),
			SlowStartWindow:      seconds(5, 10),
		},
		Settings:       policy.DefaultSettings(),
		Clients:        Clients{Retries: 1, Backoff: 50 * ms, HonorRetryAfter: 0.8},
		FirstNodeShare: []float64{0, 0.2, 0.5}[rng.IntN(3)],
		Load: model.Curve{
			{At: 0, Value: 1},
			{At: 5 * time.Second, Value: 1},
			{At: 6 * time.Second, Value: 1.6},
			{At: 9 * time.Second, Value: 1},
		},
	}
	s.Settings.Limits = policy.Limits{MaxAttempts: 3, AllowHedging: true, AllowCancel: true, MaxRetryAfter: 600 * ms}
	rules := &s.Settings.Rules
	rules.SlowStartMinCapacity, rules.SlowStartWindow = s.ServerKind.SlowStartMinCapacity, s.ServerKind.SlowStartWindow
	rules.OverloadMultiple, rules.OverloadDuration = between(1.5, 4), seconds(0.5, 2)
	work := time.Duration(between(10, 40) * float64(ms))
	rate := between(0.3, 1.2) * float64(s.Servers*s.ServerKind.Cores) / work.Seconds()
	s.Classes = readAndPayClasses(work, rate)
	s.Faults = randomRestarts(rng, nodes, s.Servers)
	return s
}

// readAndPayClasses returns two classes with nine reads for each payment. rate is the total rate in requests per second.
func readAndPayClasses(work time.Duration, rate float64) []Class {
	read := policy.Class{
		Deadline:         1400 * ms,
		LatencyObjective: 600 * ms,
		PriorityWeight:   2,
		Idempotency:      policy.Idempotent,
	}
	pay := policy.Class{
		Deadline:         1900 * ms,
		LatencyObjective: 800 * ms,
		PriorityWeight:   8,
		Idempotency:      policy.NotIdempotent,
	}
	spread := model.Spread{CV: 0.5}
	return []Class{
		{Name: "read", Class: read, Work: work, Spread: spread, Rate: 9 * (rate / 10)},
		{Name: "pay", Class: pay, Work: work, Spread: spread, Rate: rate / 10},
	}
}

// randomRestarts returns random faults: some servers are down and restart, the others drain, and in half of the cases
// some nodes are killed and restart too.
func randomRestarts(rng *rand.Rand, nodes, servers int) []Fault {
	down := 1 + rng.IntN(servers)
	faults := []Fault{{From: 2500 * ms, To: 3500 * ms, Last: down - 1, Down: true}}
	if down < servers {
		drain := Fault{From: 3 * time.Second, To: 5 * time.Second, First: down, Last: servers - 1, Drain: true}
		faults = append(faults, drain)
	}
	if rng.IntN(2) == 0 {
		faults = append(faults, Fault{From: 4 * time.Second, To: 4500 * ms, Last: nodes / 3, Nodes: true})
	}
	return faults
}

// With 20 and with 30 nodes that get uneven shares of the requests, a server that is warming up must not get more work than
// slowStartRule allows from the nodes that have its start in their endpoint lists. With round robin, which has no slow
// start budget, servers get more than that, which shows that the test can detect a violation.
func TestColdServersUnderManyNodes(t *testing.T) {
	t.Parallel()
	var seeds []uint64
	for seed := range uint64(200) {
		seeds = append(seeds, seed)
	}
	if raceEnabled {
		seeds = []uint64{18, 67, 186} // seeds with which servers are overloaded if the nodes have no budgets
	}
	for _, nodes := range []int{20, 30} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			checkSlowStarts(t, nodes, seeds)
		})
	}
	t.Run("without budget", func(t *testing.T) {
		t.Parallel()
		violations := 0
		for seed := range uint64(4) {
			scenario := randomScenario(20, seed)
			rule := newSlowStartRule(scenario)
			if _, err := Play(scenario, seed, rule.observe(Baselines["round robin"])); err != nil {
				t.Fatal(err)
			}
			violations += len(rule.violations)
		}
		if violations == 0 {
			t.Error("round robin overloaded no server: the test cannot detect a violation")
		}
	})
}

// checkSlowStarts checks slowStartRule in a random scenario for each seed.
func checkSlowStarts(t *testing.T, nodes int, seeds []uint64) {
	const parallel = 2
	var mu sync.Mutex
	count, maxLoad := 0, 0.0
	var all sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, seed := range seeds {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			scenario := randomScenario(nodes, seed)
			rule := newSlowStartRule(scenario)
			_, err := Play(scenario, seed, rule.observe(NewBalancer))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Error(err)
			}
			for _, violation := range rule.violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
			count, maxLoad = count+rule.count, max(maxLoad, rule.maxLoad)
		})
	}
	all.Wait()
	if count < len(seeds) {
		t.Errorf("got %d server starts with requests in %d scenarios, want at least as many starts as scenarios",
			count, len(seeds))
	}
	t.Logf("%d scenarios, %d server starts; maximum load %.2f of the load that overloads a server", len(seeds), count, maxLoad)
}
