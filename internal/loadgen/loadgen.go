// Package loadgen is an open-loop load generator. It sends requests at times that do not depend on the responses, and
// measures the latency of a request from the time at which the request was due. A server that stalls therefore cannot hide
// the stall by delaying the generator (coordinated omission; Tene, 2013).
//
// The file loadgen.go has the plan and the report of a run, and run.go the execution.
package loadgen

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/model"
)

// Stream is a sequence of requests of one class.
type Stream struct {
	Rate         float64 // requests per second where the curve is 1
	Curve        model.Curve
	EvenlySpaced bool // whether requests are evenly spaced; otherwise, they are a Poisson process
	// Do sends request n of the stream, which is due at the time due, and returns when the request has ended.
	Do func(ctx context.Context, n int, due time.Time)
}

// nextDue returns the time at which the next request is due after a request at the time at. Times are offsets from the
// start of the run. nextDue returns false if no further request is due before end.
func (s *Stream) nextDue(at, end time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if !s.EvenlySpaced {
		return model.NextArrival(at, end, s.Rate, s.Curve, rng)
	}
	rate := s.Rate * s.Curve.Value(at)
	if rate <= 0 {
		return 0, false
	}
	at += time.Duration(float64(time.Second) / rate)
	return at, at < end
}

// Plan describes a run.
type Plan struct {
	Duration time.Duration
	Streams  []Stream
	// MaxInFlight is the maximum number of requests in flight over all streams, at least 1. A request that is due while
	// this many are in flight waits, and the wait counts as latency.
	MaxInFlight int
	Seed        uint64
	// MaxLateness is the maximum 99th percentile of the lateness of the generator itself. The lateness is measured over
	// the requests that did not wait because of MaxInFlight. A run with a larger lateness is invalid.
	MaxLateness time.Duration
}

// Report is the result of a run. All histograms are in microseconds.
type Report struct {
	Requests []int64 // number of sent requests, by stream
	// LatencyFromDue is the latency from the due time, by stream. It is the latency that clients would see.
	LatencyFromDue []*hdrhistogram.Histogram
	// LatencyFromSend is the latency from the time of sending, by stream. It is the latency that a closed-loop generator
	// would measure, because it leaves out the wait for capacity.
	LatencyFromSend []*hdrhistogram.Histogram
	Lateness        *hdrhistogram.Histogram // lateness of the generator itself
	Invalid         bool                    // whether the generator was later than Plan.MaxLateness allows
}

const (
	maxRecorded       = time.Hour // longer times are recorded as maxRecorded
	significantDigits = 3
)

func newReport(streams int) *Report {
	r := &Report{Requests: make([]int64, streams), Lateness: newHistogram()}
	for range streams {
		r.LatencyFromDue = append(r.LatencyFromDue, newHistogram())
		r.LatencyFromSend = append(r.LatencyFromSend, newHistogram())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

// record adds a duration to a histogram, rounded up to 1 µs and limited to maxRecorded.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds()))
}
