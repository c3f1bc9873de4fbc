package fleetsim

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tenth is the time between two entries of Result.WeightByTenth.
const tenth = 100 * time.Millisecond

// Result is the result of a simulation.
type Result struct {
	Classes            []ClassResult
	Attempts           int64
	ExtraAttempts      int64 // retries and hedged requests by nodes
	AttemptsAfterDrain int64 // attempts sent more than 500 ms after the nodes were notified that the server drains
	DuplicateEffects   int64 // requests that are not idempotent and were executed twice or more
	OverloadedServers  int64 // times that a server was overloaded while warming up
	ExtraAnswers       int64 // final answers after the first one to a request
	Events             int64
	MaxServerShare     float64 // attempts at the busiest server, divided by the mean over all servers
	// ServiceBySecond has, for each second, the share of the weight of the requests of that second that was earned, at
	// whatever time. The share is 1 for a second without requests.
	ServiceBySecond []float64
	// WeightByTenth has the weight that was earned in each tenth of a second.
	WeightByTenth []float64
}

// ClassResult counts the requests of a class.
type ClassResult struct {
	Requests        int64
	WithinObjective int64 // answers from servers within the latency objective
	Late            int64 // answers from servers after the latency objective
	Rejected        int64
	Failed          int64
	EarnedWeight    float64
	RequestedWeight float64
	// Latencies are those of the answers from servers, in microseconds from the first try of the client.
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

// addOK counts an answer from a server and returns the weight that the answer earned.
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

// Service returns the share of the requested weight that was earned.
func (r *Result) Service() float64 {
	earned, requested := 0.0, 0.0
	for _, c := range r.Classes {
		earned, requested = earned+c.EarnedWeight, requested+c.RequestedWeight
	}
	const minRequested = 1e-9 // avoids a division by zero without requests
	return earned / max(requested, minRequested)
}

// Violations returns a description, with the count, of each rule that was violated.
func (r *Result) Violations() (list []string) {
	for _, v := range []struct {
		count int64
		what  string
	}{
		{r.AttemptsAfterDrain, "attempts sent to servers after their drain"},
		{r.DuplicateEffects, "requests executed twice although not idempotent"},
		{r.OverloadedServers, "overloads of servers that were warming up"},
		{r.ExtraAnswers, "final answers after the first one"},
	} {
		if v.count > 0 {
			list = append(list, fmt.Sprintf("%d %s", v.count, v.what))
		}
	}
	return list
}
