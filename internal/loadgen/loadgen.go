// Package loadgen sends requests at times that are fixed ahead, whatever the responses do (an open loop). A latency
// counts from the time at which the request was due. So a server that stalls can't hide it by holding the generator
// back (coordinated omission: Tene, 2013).
//
// loadgen.go has the plan of a run and its report, run.go the run.
package loadgen

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/model"
)

// Stream is one class of arrivals.
type Stream struct {
	Rate         float64 // requests a second, before the curve
	Curve        model.Curve
	EvenlySpaced bool // else a Poisson process
	// Do sends request n of the stream, which was to be sent at due, and returns when the request has ended.
	Do func(ctx context.Context, n int, due time.Time)
}

// nextDue returns when the next request after one at a time is due, as offsets from the run's start. It returns false
// if none is due before end.
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
	// MaxInFlight bounds the requests in flight. What is due beyond waits, and the wait counts as latency.
	MaxInFlight int
	Seed        uint64
	// MaxLateness bounds the generator's own lateness at the 99th percentile, over the requests that found capacity at
	// once. A run beyond is invalid.
	MaxLateness time.Duration
}

// Report is the result of a run. Histograms are in microseconds.
type Report struct {
	Requests []int64 // sent, by stream
	// LatencyFromDue is what clients would see, by stream.
	LatencyFromDue []*hdrhistogram.Histogram
	// LatencyFromSend leaves out the wait for capacity, by stream: it is what a closed loop would measure.
	LatencyFromSend []*hdrhistogram.Histogram
	Lateness        *hdrhistogram.Histogram // of the generator itself
	Invalid         bool                    // the generator was late: see Plan.MaxLateness
}

const (
	maxRecorded       = time.Hour // longer times are recorded as this
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

// record adds a time to a histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds()))
}
