package fleetsim

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally counts requests of a class.
type Tally struct {
	Asked, InAim, Late, Refused, Failed int64
	Worth                               float64 // earned
	Wanted                              float64
	Times                               *hdrhistogram.Histogram // of answers in microseconds, from the client's first try
}

// Result is what came of a day.
type Result struct {
	Classes  []Tally
	Sends    int64
	Copies   int64 // second and later attempts
	Strays   int64 // sent over 500 ms after word of a drain
	Twice    int64 // effects that happened twice
	Fallen   int64 // cold servers that were pushed over
	Answers  int64 // final answers beyond one for a try
	Events   int64
	MaxShare float64 // the busiest server's sends over the mean
	// Seconds is the share of the worth earned in each second.
	Seconds []float64
	// Tenths is the worth that was earned in each tenth of a second, by the time of the answers.
	Tenths []float64
}

// Service is the worth earned of the worth asked for.
func (r *Result) Service() float64 {
	earned, wanted := 0.0, 0.0
	for _, t := range r.Classes {
		earned, wanted = earned+t.Worth, wanted+t.Wanted
	}
	return earned / max(wanted, 1e-9)
}

// Broken tells which rules were.
func (r *Result) Broken() (list []string) {
	for what, n := range map[string]int64{
		"sends to drained servers": r.Strays, "effects that happened twice": r.Twice,
		"cold servers pushed over": r.Fallen, "answers beyond one": r.Answers,
	} {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, what))
		}
	}
	return list
}
