package fleetsim

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassResult counts requests of a class.
type ClassResult struct {
	Requests, WithinObjective, Late, Rejected, Failed int64
	EarnedWeight                                      float64 // earned
	RequestedWeight                                   float64
	Latencies                                         *hdrhistogram.Histogram // of answers in microseconds, from the client's first try
}

// Result is what came of a day.
type Result struct {
	Classes            []ClassResult
	Attempts           int64
	ExtraAttempts      int64 // second and later attempts
	AttemptsAfterDrain int64 // sent over 500 ms after word of a drain
	DuplicateEffects   int64 // effects that happened twice
	OverloadedServers  int64 // cold servers that were pushed over
	ExtraAnswers       int64 // final answers beyond one for a try
	Events             int64
	MaxServerShare     float64 // the busiest server's sends over the mean
	// ServiceBySecond is the share of the worth earned in each second.
	ServiceBySecond []float64
	// WeightByTenth is the worth that was earned in each tenth of a second, by the time of the answers.
	WeightByTenth []float64
}

// Service is the worth earned of the worth asked for.
func (r *Result) Service() float64 {
	earned, wanted := 0.0, 0.0
	for _, t := range r.Classes {
		earned, wanted = earned+t.EarnedWeight, wanted+t.RequestedWeight
	}
	return earned / max(wanted, 1e-9)
}

// Violations tells which rules were.
func (r *Result) Violations() (list []string) {
	for what, n := range map[string]int64{
		"sends to drained servers": r.AttemptsAfterDrain, "effects that happened twice": r.DuplicateEffects,
		"cold servers pushed over": r.OverloadedServers, "answers beyond one": r.ExtraAnswers,
	} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, what))
		}
	}
	return list
}
