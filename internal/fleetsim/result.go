package fleetsim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tenth is the step of Result.WeightByTenth.
const tenth = 100 * time.Millisecond

// Result is the result of a simulation.
type Result struct {
	Classes            []ClassResult
	Attempts           int64
	ExtraAttempts      int64 // retries and hedged requests
	AttemptsAfterDrain int64 // sent more than 500 ms after the nodes got a server's drain
	DuplicateEffects   int64 // requests that are not idempotent and had their effect twice
	OverloadedServers  int64 // servers that were overloaded while they warmed up
	ExtraAnswers       int64 // final answers after a request's first
	Events             int64
	MaxServerShare     float64 // attempts at the busiest server, over the mean of all
	// ServiceBySecond is, for each second, the share of the weight requested in it that was earned at any time.
	ServiceBySecond []float64
	// WeightByTenth is the weight that was earned in each tenth of a second.
	WeightByTenth []float64
}

// ClassResult counts the requests of a class.
type ClassResult struct {
	Requests        int64
	WithinObjective int64 // answers within the latency objective
	Late            int64 // answers after it
	Rejected        int64
	Failed          int64
	EarnedWeight    float64
	RequestedWeight float64
	// Latencies are of answers, in microseconds from the client's first try.
	Latencies *hdrhistogram.Histogram
}

func newResult(scenario *Scenario) *Result {
	r := &Result{WeightByTenth: make([]float64, int(scenario.Length/tenth)+1)}
	const longest, digits = int64(time.Hour / time.Microsecond), 3
	for range scenario.Classes {
		r.Classes = append(r.Classes, ClassResult{Latencies: hdrhistogram.New(1, longest, digits)})
	}
	return r
}

// addOK counts a server's answer, and returns the weight that it earned.
func (r *ClassResult) addOK(c *Class, latency time.Duration) (earned float64) {
	r.Latencies.RecordValue(max(1, latency.Microseconds()))
	earned = c.PriorityWeight
	if objective := c.LatencyObjective; objective > 0 && latency > objective {
		r.Late++
		earned *= c.LateWeight
	} else {
		r.WithinObjective++
	}
	r.EarnedWeight += earned
	return earned
}

// Service is the share of the requested weight that was earned.
func (r *Result) Service() float64 {
	earned, requested := 0.0, 0.0
	for _, c := range r.Classes {
		earned, requested = earned+c.EarnedWeight, requested+c.RequestedWeight
	}
	const least = 1e-9 // for a result without requests
	return earned / max(requested, least)
}

// Violations returns the rules that were broken, each with its count.
func (r *Result) Violations() (list []string) {
	for _, v := range []struct {
		count int64
		what  string
	}{
		{r.AttemptsAfterDrain, "sends to drained servers"},
		{r.DuplicateEffects, "effects that happened twice"},
		{r.OverloadedServers, "cold servers pushed over"},
		{r.ExtraAnswers, "answers beyond one"},
	} {
		if v.count > 0 {
			list = append(list, fmt.Sprintf("%d %s", v.count, v.what))
		}
	}
	return list
}
