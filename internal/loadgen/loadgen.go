// Package loadgen asks at times that are fixed ahead, whatever the answers do (an open loop): a request is
// due at its time, and its latency counts from then on. A server that stalls can't hide it by holding the
// generator back (coordinated omission: Tene, 2013).
package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokestall/internal/model"
)

// Stream is one class of arrivals.
type Stream struct {
	Rate         float64 // requests a second, before the curve
	Curve        model.Curve
	EvenlySpaced bool // at even distances; else as a Poisson process
	// Do makes request n of the stream; due is when it had to go out. It returns when the request is over.
	Do func(ctx context.Context, n int, due time.Time)
}

// Plan is a run.
type Plan struct {
	Duration    time.Duration
	Streams     []Stream
	MaxInFlight int // requests that may be open at once; what is due beyond waits, and its time counts
	Seed        uint64
	// MaxLateness is how late the generator may be itself: if a hundredth of the requests is handed out later
	// than this though there was a place, the run is void.
	MaxLateness time.Duration
}

// Report is what came of a run. Times are in microseconds, for each stream.
type Report struct {
	Requests       []int64
	LatencyFromDue []*hdrhistogram.Histogram // what clients would see
	// LatencyFromSend leaves out what a request waited for a place: what a closed loop would measure.
	LatencyFromSend []*hdrhistogram.Histogram
	Lateness        *hdrhistogram.Histogram // of the generator itself
	Invalid         bool
}

const longest = int64(time.Hour / time.Microsecond)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

// Run plays a plan. When it returns, all its requests are over.
func Run(ctx context.Context, p Plan) *Report {
	r := &Report{Lateness: histogram()}
	var mu sync.Mutex // guards the histograms
	var all sync.WaitGroup
	places := make(chan struct{}, p.MaxInFlight)
	for range p.Streams {
		r.Requests = append(r.Requests, 0)
		r.LatencyFromDue, r.LatencyFromSend = append(r.LatencyFromDue, histogram()), append(r.LatencyFromSend, histogram())
	}
	began := time.Now()
	for i := range p.Streams {
		s := &p.Streams[i]
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all.Go(func() {
			var open sync.WaitGroup
			defer open.Wait()
			timer := time.NewTimer(0)
			defer timer.Stop()
			for n, at := 0, time.Duration(0); ; n++ {
				var ok bool
				if at, ok = s.nextDue(at, p.Duration, rng); !ok {
					return
				}
				due := began.Add(at)
				if wait := time.Until(due); wait > 0 {
					timer.Reset(wait)
					select {
					case <-timer.C:
					case <-ctx.Done():
						return
					}
				}
				late, full := time.Since(due), false
				select {
				case places <- struct{}{}:
				default:
					full = true
					select {
					case places <- struct{}{}:
					case <-ctx.Done():
						return
					}
				}
				mu.Lock()
				r.Requests[i]++
				if !full && len(places) > 0 { // not held up by the requests before
					r.Lateness.RecordValue(clamp(late))
				}
				mu.Unlock()
				open.Go(func() {
					sent := time.Now()
					s.Do(ctx, n, due)
					over := time.Now()
					<-places
					mu.Lock()
					defer mu.Unlock()
					r.LatencyFromDue[i].RecordValue(clamp(over.Sub(due)))
					r.LatencyFromSend[i].RecordValue(clamp(over.Sub(sent)))
				})
			}
		})
	}
	all.Wait()
	r.Invalid = time.Duration(r.Lateness.ValueAtQuantile(99))*time.Microsecond > p.MaxLateness
	return r
}

func clamp(d time.Duration) int64 { return min(max(1, d.Microseconds()), longest) }

// nextDue gives when a stream's nextDue request is due.
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
